"""Reload of the settings file."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import fields
from typing import TYPE_CHECKING

from gypsumvane_daemon.event_wait import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from gypsumvane_daemon.routing.settings import RoutingSettings

logger = logging.getLogger(__name__)

# Interval at which the file is checked for changes that come without a signal.
POLL_INTERVAL_S = 2.0
# Fields that take effect while the daemon runs; other fields need a restart.
LIVE_FIELDS = frozenset(
    {
        "retry_allowance",
        "stop_grace_s",
        "seed_addresses",
        "memory_mb",
        "descriptors_max",
    }
)


class SettingsError(Exception):
    """Report missing or invalid settings."""


class SettingsReload:
    """Reload the file on SIGHUP and when its modification time changes."""

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], RoutingSettings],
        current: RoutingSettings,
        apply: Callable[[RoutingSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._current = current
        self._apply = apply
        self._modified_ns = self._modification_ns()
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Request a reload, for instance from a signal handler."""
        self._requested.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            await wait_for_event(self._requested, timeout_s=POLL_INTERVAL_S)
            modified_ns = self._modification_ns()
            if self._requested.is_set() or modified_ns != self._modified_ns:
                self._requested.clear()
                self._modified_ns = modified_ns
                self.reload()

    def reload(self) -> None:
        """Read and apply the file; an invalid file changes nothing."""
        try:
            settings = self._load(self._path)
        except SettingsError as error:
            logger.error(
                "settings file is invalid, keeping the current settings",
                extra={"error": str(error)},
            )
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self._current, field.name)
        ]
        self._current = settings
        self._apply(settings)
        logger.info(
            "settings reloaded",
            extra={
                "changed": changed,
                "needs_restart": sorted(set(changed) - LIVE_FIELDS),
            },
        )

    def _modification_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The file is missing while it is being replaced.
            return 0
