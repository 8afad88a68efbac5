"""Following the objects of one kind in the store."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC
from abc import abstractmethod
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.ports import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList
    from gypsumvane_daemon.routing.ports import RecordSource

Value = TypeVar("Value")

logger = logging.getLogger(__name__)

# Each watch costs a store call. The store may drop a waiting watch without a
# word, and 4 s later this machine counts as sound again, so that one feed has
# to notice it within about 2.5 s; it makes the others start anew.
QUICK_WATCH_S = 1.5
SLOW_WATCH_S = 5.0
# For kinds that seldom change and are restarted with the others.
RARE_WATCH_S = 10.0
# A machine that reaches the store again has 4 s until it counts as sound.
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 0.8
# A list that is read sooner after an outage may lack leaves that live.
REREGISTRATION_S = 4.0


class FeedListener(ABC, Generic[Value]):
    """Take what a feed reads."""

    @abstractmethod
    def on_list(self, listing: RecordList[Value], *, after_outage: bool) -> None:
        """Take a complete list."""

    @abstractmethod
    def on_changes(self, changes: RecordChanges[Value]) -> None:
        """Take changes in order."""


class StoreFeed(Generic[Value]):
    """List the objects of a kind once and watch for changes."""

    def __init__(
        self,
        source: RecordSource[Value],
        listener: FeedListener[Value],
        *,
        watch_s: float,
        pause_s: float = 0.0,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._source = source
        self._listener = listener
        self._watch_s = watch_s
        # Between two watches that brought changes, so that leaves that start
        # together cost few calls.
        self._pause_s = pause_s
        self._clock = clock
        self._backoff = Backoff(rng, first_s=RETRY_FIRST_S, max_s=RETRY_MAX_S)
        self._revision: int | None = None
        self._lost_s: float | None = None
        self._regained_s = -REREGISTRATION_S
        self._step_task: asyncio.Task[None] | None = None
        self._restarting = False
        # Called when the store has failed this feed or forgotten its history.
        self.on_interruption: Callable[[], None] = lambda: None
        # While this feed is lost, the store is not asked here either.
        self._leader: StoreFeed[Any] | None = None
        self._confirmed_s = -REREGISTRATION_S
        self._reached = asyncio.Event()
        self._reached.set()

    @property
    def lost(self) -> bool:
        """Return whether the store does not answer now."""
        return self._lost_s is not None

    def confirmed_age_s(self) -> float:
        """Return the time since the store confirmed what is known."""
        return self._clock.monotonic_s() - self._confirmed_s

    async def wait_until_reached(self) -> None:
        """Return when the store is not lost."""
        await self._reached.wait()

    def follow(self, leader: StoreFeed[Any]) -> None:
        """Ask the store only while another feed reaches it."""
        self._leader = leader

    def restart(self) -> None:
        """Read the whole list again, because a waiting watch may be dead."""
        self._revision = None
        if self._step_task is not None and not self.lost:
            self._restarting = True
            self._step_task.cancel()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self._step_task = asyncio.create_task(self._step())
            try:
                await self._step_task
            except asyncio.CancelledError:
                # A restart cancels the step only; this task may be cancelled at
                # the same time.
                task = asyncio.current_task()
                if not self._restarting or (task is not None and task.cancelling()):
                    raise
            except HistoryLostError:
                logger.info("store history lost", extra={"kind": self._source.label})
                self._revision = None
                self.on_interruption()
            except StoreUnavailableError as error:
                self._mark_lost(error)
                await asyncio.sleep(self._backoff.next_s())
            finally:
                self._restarting = False

    async def _step(self) -> None:
        if self._leader is not None:
            await self._leader.wait_until_reached()
        if self._revision is None:
            listing = await self._source.list_all()
            self._mark_answered(listing.age_s)
            self._revision = listing.revision
            away_s = self._clock.monotonic_s() - self._regained_s
            # A hub that lists anew may have lost the store for a while.
            after_outage = away_s < REREGISTRATION_S or listing.relayed
            self._listener.on_list(listing, after_outage=after_outage)
            return
        changes = await self._source.watch(self._revision, self._watch_s)
        self._mark_answered(changes.age_s)
        self._revision = changes.revision
        if changes.changes:
            self._listener.on_changes(changes)
            await asyncio.sleep(self._pause_s)

    def _mark_lost(self, error: StoreUnavailableError) -> None:
        if self._lost_s is None:
            self._lost_s = self._clock.monotonic_s()
            self._reached.clear()
            logger.warning(
                "store lost", extra={"kind": self._source.label, "error": str(error)}
            )
            self.on_interruption()

    def _mark_answered(self, age_s: float) -> None:
        self._backoff.reset()
        now_s = self._clock.monotonic_s()
        self._confirmed_s = now_s - age_s
        if self._lost_s is not None:
            logger.info(
                "store regained",
                extra={"kind": self._source.label, "away_s": now_s - self._lost_s},
            )
            self._lost_s = None
            self._reached.set()
            self._regained_s = now_s


def link_feeds(leader: StoreFeed[Any], *followers: StoreFeed[Any]) -> None:
    """Let trouble of one feed start the others anew, led by the quick one."""
    feeds = (leader, *followers)
    for follower in followers:
        follower.follow(leader)
    for feed in feeds:
        others = [other for other in feeds if other is not feed]
        feed.on_interruption = partial(_restart_all, others)


def _restart_all(feeds: Sequence[StoreFeed[Any]]) -> None:
    for feed in feeds:
        feed.restart()
