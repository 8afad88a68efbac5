"""The watch loop that feeds all subscribers of one prefix."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_daemon.store_objects import ObjectChange
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import WatchGapError

if TYPE_CHECKING:
    from gypsumvane_daemon.backoff import Backoff
    from gypsumvane_daemon.store_http import StoreHttp
    from gypsumvane_daemon.store_objects import Changes

logger = logging.getLogger(__name__)

ChangeListener = Callable[[str, bytes | None, int], None]


@dataclass(frozen=True, slots=True)
class Subscription:
    """Send changes below a prefix to a listener."""

    prefix: str
    listener: ChangeListener


class StoreWatch:
    """Follow a prefix by list and watch and tell the differences."""

    def __init__(
        self,
        http: StoreHttp,
        *,
        prefix: str,
        wait_ms: int,
        pauses: Backoff,
        confirm: Callable[[float], None],
    ) -> None:
        self._http = http
        self._prefix = prefix
        self._wait_ms = wait_ms
        self._pauses = pauses
        self._confirm = confirm
        self._subscriptions: list[Subscription] = []
        # Version of each object that was told to the subscribers.
        self._told: dict[str, int] = {}
        # None: the next step is a list.
        self._after: int | None = None

    def subscribe(self, subscription: Subscription) -> None:
        """Add a subscriber; everything is listed and told again."""
        self._subscriptions.append(subscription)
        self._told.clear()
        self._after = None

    async def run(self) -> None:
        """List, then watch until cancelled."""
        self._after = None
        while True:
            try:
                await self._step()
                self._pauses.reset()
            except WatchGapError as error:
                logger.warning("watch lists again", extra={"cause": str(error)})
                self._after = None
                await asyncio.sleep(self._pauses.next_s())
            except StoreError:
                await asyncio.sleep(self._pauses.next_s())

    async def _step(self) -> None:
        after = self._after
        if after is None:
            self._after = 0
            try:
                self._take_list(await self._http.list(self._prefix))
            except StoreError:
                self._after = None
                raise
            return
        changes = await self._http.watch(
            self._prefix, after=after, wait_ms=self._wait_ms
        )
        self._take_changes(changes)

    def _take_list(self, listed: Changes) -> None:
        present = {change.key for change in listed.objects}
        for key in sorted(set(self._told) - present):
            del self._told[key]
            self._tell(ObjectChange(key=key, value=None, version=listed.version))
        self._take_changes(listed)

    def _take_changes(self, changes: Changes) -> None:
        for change in changes.objects:
            if self._told.get(change.key, -1) >= change.version:
                continue
            if change.value is None:
                self._told.pop(change.key, None)
            else:
                self._told[change.key] = change.version
            self._tell(change)
        # A subscription made while the call was waiting asks for a list.
        if self._after is not None:
            self._after = changes.version
        # Subscribers learn a newer view before it counts as confirmed.
        self._confirm(changes.sent_at_s)

    def _tell(self, change: ObjectChange) -> None:
        for subscription in self._subscriptions:
            if not change.key.startswith(subscription.prefix):
                continue
            try:
                subscription.listener(change.key, change.value, change.version)
            except Exception:
                logger.exception(
                    "listener failed on a store change", extra={"key": change.key}
                )
