"""Watch loop that delivers changes below a prefix to subscribers."""

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
    from gypsumvane_daemon.store_objects import ObjectChanges

logger = logging.getLogger(__name__)

ChangeListener = Callable[[str, bytes | None, int], None]


@dataclass(frozen=True, slots=True)
class Subscription:
    """Listener for changes below a prefix."""

    prefix: str
    listener: ChangeListener


class StoreWatch:
    """List and watch a prefix and deliver changes to the subscribers."""

    def __init__(
        self,
        http: StoreHttp,
        *,
        prefix: str,
        wait_ms: int,
        backoff: Backoff,
        confirm: Callable[[float], None],
    ) -> None:
        self._http = http
        self._prefix = prefix
        self._wait_ms = wait_ms
        self._backoff = backoff
        self._confirm = confirm
        self._subscriptions: list[Subscription] = []
        # Version of each object last delivered to the subscribers.
        self._delivered_versions: dict[str, int] = {}
        # Version to watch from; None when the next step is a list.
        self._after_version: int | None = None

    def subscribe(self, subscription: Subscription) -> None:
        """Add a subscription; all objects are listed and delivered again."""
        self._subscriptions.append(subscription)
        self._delivered_versions.clear()
        self._after_version = None

    async def run(self) -> None:
        """List the objects, then watch them until cancelled."""
        self._after_version = None
        while True:
            try:
                await self._step()
                self._backoff.reset()
            except WatchGapError as error:
                logger.warning(
                    "store watch interrupted; listing all objects again",
                    extra={"cause": str(error)},
                )
                self._after_version = None
                await asyncio.sleep(self._backoff.next_s())
            except StoreError:
                await asyncio.sleep(self._backoff.next_s())

    async def _step(self) -> None:
        after = self._after_version
        if after is None:
            self._after_version = 0
            try:
                self._apply_list(await self._http.list(self._prefix))
            except StoreError:
                self._after_version = None
                raise
            return
        changes = await self._http.watch(
            self._prefix, after=after, wait_ms=self._wait_ms
        )
        self._apply_changes(changes)

    def _apply_list(self, listed: ObjectChanges) -> None:
        present = {change.key for change in listed.objects}
        for key in sorted(set(self._delivered_versions) - present):
            del self._delivered_versions[key]
            self._deliver(ObjectChange(key=key, value=None, version=listed.version))
        self._apply_changes(listed)

    def _apply_changes(self, changes: ObjectChanges) -> None:
        for change in changes.objects:
            if self._delivered_versions.get(change.key, -1) >= change.version:
                continue
            if change.value is None:
                self._delivered_versions.pop(change.key, None)
            else:
                self._delivered_versions[change.key] = change.version
            self._deliver(change)
        # A subscription added during the call has requested a new list.
        if self._after_version is not None:
            self._after_version = changes.version
        # A newer view must reach its subscriber before it counts as confirmed.
        self._confirm(changes.sent_at_s)

    def _deliver(self, change: ObjectChange) -> None:
        for subscription in self._subscriptions:
            if not change.key.startswith(subscription.prefix):
                continue
            try:
                subscription.listener(change.key, change.value, change.version)
            except Exception:
                logger.exception(
                    "store change listener failed; continuing with the others",
                    extra={"key": change.key},
                )
