"""Client of the object store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.store_http import StoreHttp
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import PutResult
from gypsumvane_daemon.store_objects import StoreCallCount
from gypsumvane_daemon.store_objects import StoredObject
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written
from gypsumvane_daemon.store_watch import StoreWatch
from gypsumvane_daemon.store_watch import Subscription

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.store_watch import ChangeListener

logger = logging.getLogger(__name__)

WATCH_PREFIX = "config/"


class StoreClient(Service):
    """Read, write and watch objects; resolve writes with a lost answer."""

    name = "store"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._metrics: MetricsService | None = None
        self._confirmation_listeners: list[Callable[[float], None]] = []
        self._watch_task: asyncio.Task[None] | None = None
        platform = identity.settings.platform
        self._platform = platform
        self._http = StoreHttp(platform, clock=clock, rng=rng, count=self._count)
        self._watch = StoreWatch(
            self._http,
            prefix=WATCH_PREFIX,
            wait_ms=platform.store_watch_wait_ms,
            backoff=self._backoff(),
            confirm=self._confirm,
        )

    async def start(self, kernel: Kernel) -> None:
        """Open the connection pool."""
        self._metrics = kernel.get(MetricsService)
        await self._http.open()

    async def stop(self) -> None:
        """Stop the watch and close the connections."""
        watching = self._watch_task
        self.set_watching(False)
        if watching is not None:
            await asyncio.gather(watching, return_exceptions=True)
        await self._http.close()

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, None when it does not exist; raises StoreError."""
        return await self._http.get(key)

    def calls(self) -> list[StoreCallCount]:
        """Return the calls by kind and result; each long poll counts as one call."""
        return self._http.calls()

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects below a prefix; raises StoreError."""
        listed = await self._http.list(prefix)
        return [
            StoredObject(
                key=change.key,
                value=change.value,
                version=change.version,
                read_at_s=listed.sent_at_s,
            )
            for change in listed.objects
            if change.value is not None
        ]

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write once if the stored version is the expected one; None creates.

        Raises StoreError. A lost answer is not resolved, see ``put_confirmed``.
        """
        return await self._http.put(key, value, expected_version=expected_version)

    async def put_confirmed(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
        contains_change: Callable[[bytes], bool],
    ) -> PutResult:
        """Write and resolve a lost answer by reading the object back.

        ``contains_change`` tells whether a stored value contains the change.
        The version of the result is that of the value that was read back.
        Raises StoreError, with ``may_have_applied`` set when the outcome could
        not be determined.
        """
        try:
            return await self.put(key, value, expected_version=expected_version)
        except StoreError as error:
            if not error.may_have_applied:
                raise
        resolve_for_s = self._platform.store_resolve_ms / 1000
        deadline_s = self._clock.monotonic_s() + resolve_for_s
        backoff = self._backoff()
        while self._clock.monotonic_s() < deadline_s:
            try:
                stored = await self.get(key)
                if stored is not None and contains_change(stored.value):
                    return Written(version=stored.version)
                if _version_of(stored) != expected_version:
                    # The version has changed, so the lost write can no longer apply.
                    return Conflict()
                # The lost write may still arrive. Writing again is safe, because
                # only one of the two writes can meet the condition.
                written = await self.put(key, value, expected_version=expected_version)
                if isinstance(written, Written):
                    return written
            except StoreError:
                pass
            await asyncio.sleep(backoff.next_s())
        raise StoreError(
            f"outcome of the write of {key} is unknown: answer lost",
            may_have_applied=True,
        )

    def subscribe(self, prefix: str, listener: ChangeListener) -> None:
        """Register a listener for changes below a prefix of ``config/``.

        It gets the key, the value and the version of each changed object. The
        value is None when the object was deleted.
        """
        self._watch.subscribe(Subscription(prefix=prefix, listener=listener))

    def set_watching(self, watching: bool) -> None:
        """Start or stop the watch loop."""
        if watching and self._watch_task is None:
            self._watch_task = asyncio.create_task(
                self._watch.run(), name="store-watch"
            )
            logger.info("store watch started")
        elif not watching and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
            logger.info("store watch stopped")

    @property
    def watching(self) -> bool:
        """Return whether the watch loop is running."""
        return self._watch_task is not None

    def on_confirmed(self, listener: Callable[[float], None]) -> None:
        """Register a listener, called after each list or watch response.

        Its argument is the monotonic time in seconds before the request was sent.
        """
        self._confirmation_listeners.append(listener)

    def _confirm(self, sent_at_s: float) -> None:
        for listener in self._confirmation_listeners:
            try:
                listener(sent_at_s)
            except Exception:
                logger.exception(
                    "store confirmation listener failed; continuing with the others"
                )

    def _count(self, kind: str, result: str) -> None:
        if self._metrics is not None:
            self._metrics.count("store_calls", kind=kind, result=result)

    def _backoff(self) -> Backoff:
        return Backoff(
            self._rng,
            first_s=self._platform.store_pause_first_ms / 1000,
            max_s=self._platform.store_pause_max_ms / 1000,
        )


def _version_of(stored: StoredObject | None) -> int | None:
    return None if stored is None else stored.version
