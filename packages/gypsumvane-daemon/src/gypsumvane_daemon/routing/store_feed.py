"""Following the objects of one kind in the store."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.ports import StoreUnavailableError

if TYPE_CHECKING:
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList
    from gypsumvane_daemon.routing.ports import RecordSource

Value = TypeVar("Value")

logger = logging.getLogger(__name__)

# A watch costs one store call each time it ends.
WATCH_WAIT_S = 20.0
# A machine that reaches the store again has 4 s until it counts as sound.
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 0.8
# A list that is read sooner after an outage may lack leaves that live.
RETURN_S = 4.0


class FeedListener(ABC, Generic[Value]):
    """Take what a feed reads."""

    @abstractmethod
    def replaced(self, listing: RecordList[Value], *, after_outage: bool) -> None:
        """Take a complete list."""

    @abstractmethod
    def changed(self, changes: RecordChanges[Value]) -> None:
        """Take changes in order."""


class StoreFeed(Generic[Value]):
    """List the objects of a kind once and watch for changes."""

    def __init__(
        self,
        source: RecordSource[Value],
        listener: FeedListener[Value],
        *,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._source = source
        self._listener = listener
        self._clock = clock
        self._backoff = Backoff(rng, first_s=RETRY_FIRST_S, max_s=RETRY_MAX_S)
        self._revision: int | None = None
        self._lost_s: float | None = None
        self._returned_s = -RETURN_S

    @property
    def lost(self) -> bool:
        """Return whether the store does not answer now."""
        return self._lost_s is not None

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                logger.info("store history lost", extra={"kind": self._source.label})
                self._revision = None
            except StoreUnavailableError as error:
                self._note_lost(error)
                await asyncio.sleep(self._backoff.next_s())

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._source.list()
            self._note_answer()
            self._revision = listing.revision
            after_outage = self._clock.monotonic_s() - self._returned_s < RETURN_S
            self._listener.replaced(listing, after_outage=after_outage)
            return
        changes = await self._source.watch(self._revision, WATCH_WAIT_S)
        self._note_answer()
        self._revision = changes.revision
        if changes.changes:
            self._listener.changed(changes)

    def _note_lost(self, error: StoreUnavailableError) -> None:
        if self._lost_s is None:
            self._lost_s = self._clock.monotonic_s()
            logger.warning(
                "store lost", extra={"kind": self._source.label, "error": str(error)}
            )

    def _note_answer(self) -> None:
        self._backoff.reset()
        if self._lost_s is not None:
            now_s = self._clock.monotonic_s()
            logger.info(
                "store regained",
                extra={"kind": self._source.label, "away_s": now_s - self._lost_s},
            )
            self._lost_s = None
            self._returned_s = now_s
