"""Membership view in the object store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.view import VIEW_KEY
from gypsumvane_core.view import decode_view
from gypsumvane_core.view import encode_view
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.membership import MembershipState
    from gypsumvane_core.view import View
    from gypsumvane_daemon.membership_ports import StorePort
    from gypsumvane_daemon.metrics import MetricsService

logger = logging.getLogger(__name__)

CONFLICT_RETRIES = 5


class ViewStore:
    """Read the stored view into the membership state and write its changes."""

    def __init__(
        self,
        store: StorePort,
        state: MembershipState,
        *,
        metrics: MetricsService,
        out_domains: Callable[[], frozenset[str]],
        on_view: Callable[[View], None],
    ) -> None:
        self._store = store
        self._state = state
        self._metrics = metrics
        self._out_domains = out_domains
        self._on_view = on_view
        # A stored view that cannot be decoded must not count as confirmed.
        self._unreadable = False

    def apply_stored(self, value: bytes | None, version: int) -> View | None:
        """Apply a stored value; return its view, None if missing or invalid."""
        self._state.promises.record_version(version)
        if value is None:
            return None
        try:
            view = decode_view(value)
        except ValueError as error:
            self._metrics.count("view_unreadable")
            if not self._unreadable:
                logger.error(
                    "stored membership view cannot be decoded; ignoring it",
                    extra={"cause": str(error)},
                )
            self._unreadable = True
            return None
        self._unreadable = False
        self._on_view(view)
        return view

    def confirm_read(self, sent_at_s: float) -> None:
        """Record a successful read of the configuration that was sent at this time."""
        if not self._unreadable:
            self._state.store_confirmation.record(sent_at_s)

    async def write_change(self) -> None:
        """Write the pending change of the view after the own promises have expired.

        Raises StoreError.
        """
        promises = self._state.promises
        promises.begin_write()
        try:
            await asyncio.sleep(promises.wait_s(self._state.clock.monotonic_s()))
            for _ in range(CONFLICT_RETRIES):
                if await self._write_once():
                    return
        finally:
            promises.end_write()

    async def create_view(self) -> None:
        """Write a view as a daemon outside it, if no member is live.

        Raises StoreError.
        """
        stored = await self._store.get(VIEW_KEY)
        version = None if stored is None else stored.version
        view = (
            None if stored is None else self.apply_stored(stored.value, stored.version)
        )
        if stored is not None and view is None:
            return
        new_view = self._state.recovery_view(view)
        if new_view is not None:
            await self._put(new_view, version)

    async def resolve_lost_write(self) -> None:
        """Read the view, which may resolve a write whose answer was lost.

        Raises StoreError.
        """
        stored = await self._store.get(VIEW_KEY)
        if stored is not None:
            self.apply_stored(stored.value, stored.version)

    async def _write_once(self) -> bool:
        """Return whether no change is left to write."""
        stored = await self._store.get(VIEW_KEY)
        if stored is None:
            return True
        view = self.apply_stored(stored.value, stored.version)
        if view is None or view.epoch != self._state.epoch:
            return True
        new_view = self._state.next_view(self._out_domains())
        return new_view is None or await self._put(new_view, stored.version)

    async def _put(self, view: View, version: int | None) -> bool:
        try:
            result = await self._store.put(
                VIEW_KEY, encode_view(view), expected_version=version
            )
        except StoreError as error:
            if version is not None and error.may_have_applied:
                self._state.promises.record_lost_answer(version)
                self._metrics.count("view_writes", result="lost")
            raise
        if isinstance(result, Conflict):
            self._metrics.count("view_writes", result="conflict")
            return False
        self._metrics.count("view_writes", result="written")
        self._state.promises.record_version(result.version)
        self._on_view(view)
        return True
