"""Taking over a settings file that has changed."""

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

# The file may change without a signal.
POLL_INTERVAL_S = 2.0
# Applied while running; a change of another field takes a restart.
LIVE_FIELDS = frozenset({"retry_allowance", "stop_grace_s", "seed_addresses"})


class SettingsError(Exception):
    """Report settings that cannot be used."""


class SettingsReload:
    """Read the file after SIGHUP and when its modification time changes."""

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
        """Read the file now."""
        self._requested.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            await wait_for_event(self._requested, timeout_s=POLL_INTERVAL_S)
            modified_ns = self._modification_ns()
            if self._requested.is_set() or modified_ns != self._modified_ns:
                self._requested.clear()
                self._modified_ns = modified_ns
                self.reload()

    def reload(self) -> None:
        """Apply the file; settings that cannot be used change nothing."""
        try:
            settings = self._load(self._path)
        except SettingsError as error:
            logger.error("settings not reloaded", extra={"error": str(error)})
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
            # The file is being replaced.
            return 0
