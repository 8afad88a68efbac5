"""Feed of the objects of one kind in the store."""

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

from gypsumvane_core.routing.change_period import ChangePeriod
from gypsumvane_core.routing.store_revision import era_of
from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.ports import StoreAnswerTooLargeError
from gypsumvane_daemon.routing.ports import StoreNotCalledError
from gypsumvane_daemon.routing.ports import StoreSilentError
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

# Waits of a watch; each watch costs a store call. The store may drop a waiting watch
# silently, and this VM counts as healthy again 4 s later, so one feed has to notice
# within about 2.5 s. It then restarts the other feeds.
QUICK_WATCH_S = 1.5
SLOW_WATCH_S = 5.0
# For kinds that rarely change and are restarted together with the others.
RARE_WATCH_S = 10.0
# Time in which the watch of a kind returns a change that the watch of another kind has
# shown to exist.
CHANGE_PATIENCE_S = 0.15
# Bounds of the pause between retries. A VM that reaches the store again counts as
# healthy after 4 s.
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 0.8
# Time after a store outage in which a list may still lack running leaves, which have
# to register again.
REREGISTRATION_S = 4.0
# Time after the store has come back from an older copy in which its writers write again
# what it lacks, and entries of leaves that are gone expire. Everything is listed then.
RESTORE_SETTLE_S = 5.0
# Shortest time without a confirmation in which entries of running leaves may expire.
# They expire after three silent ping intervals.
ENTRY_EXPIRY_MIN_S = 2.4


class FeedListener(ABC, Generic[Value]):
    """Receive what a feed reads."""

    @abstractmethod
    def on_list(self, listing: RecordList[Value], period: ChangePeriod) -> None:
        """Handle a complete list, which changed within a period."""

    @abstractmethod
    def on_changes(self, changes: RecordChanges[Value], period: ChangePeriod) -> None:
        """Handle changes in order, which were made within a period."""


class StoreFeed(Generic[Value]):
    """List the objects of a kind, then watch for changes, through outages."""

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
        # Pause after a watch that returned changes, so that objects that change
        # together cost few calls.
        self._pause_s = pause_s
        self._clock = clock
        self._backoff = Backoff(rng, first_s=RETRY_FIRST_S, max_s=RETRY_MAX_S)
        self._revision: int | None = None
        # Start of the current outage.
        self._lost_s: float | None = None
        # Whether a call of this daemon to the store failed in the current outage, not
        # only the relays.
        self._store_failed = False
        # End of the last outage of the store; the initial value is too early to mark
        # the first list.
        self._regained_s = -REREGISTRATION_S
        self._step_task: asyncio.Task[None] | None = None
        self._restarting = False
        # All changes of this kind up to this revision are known.
        self._covered_revision = 0
        # Whether a peer served the latest answer.
        self._relayed = False
        # Called with each answer of the store to a watch, and its first revision.
        self.on_watched: Callable[[int, RecordChanges[Value]], None] = (
            lambda since, changes: None
        )
        # Called when the store has come back from an older copy.
        self.on_restored: Callable[[], None] = lambda: None
        # Called at the start of an outage and when the store has lost the history.
        self.on_interruption: Callable[[], None] = lambda: None
        # This feed makes no calls while the leader has an outage.
        self._leader: StoreFeed[Any] | None = None
        self._confirmed_s = -REREGISTRATION_S
        self._reached = asyncio.Event()
        self._reached.set()

    @property
    def lost(self) -> bool:
        """Return whether the store is unreachable."""
        return self._lost_s is not None

    def confirmed_age_s(self) -> float:
        """Return the time since the store last confirmed the current state."""
        return self._clock.monotonic_s() - self._confirmed_s

    def after_outage(self) -> bool:
        """Return whether entries that expired in an outage may still be missing."""
        return self._clock.monotonic_s() - self._regained_s < REREGISTRATION_S

    async def wait_until_reached(self) -> None:
        """Wait until the store is reachable."""
        await self._reached.wait()

    def follow(self, leader: StoreFeed[Any]) -> None:
        """Call the store only while it is reachable for another feed."""
        self._leader = leader

    def note_watch(self, since: int, changes: RecordChanges[Any]) -> None:
        """Draw on the answer to a watch of another kind.

        Each change raises the revision of the store by one. If that kind accounts for
        all of them, this kind has not changed; otherwise it is listed, unless its own
        watch returns the change first.
        """
        if self._revision is None or self._relayed or self.lost:
            return
        others = changes.revision - since - len(changes.changes)
        if not others and self._covered_revision >= since:
            self._covered_revision = max(self._covered_revision, changes.revision)
        if self._covered_revision >= changes.revision:
            self._confirmed_s = self._clock.monotonic_s()
            return
        asyncio.get_running_loop().call_later(
            CHANGE_PATIENCE_S, self._list_unless_covered, changes.revision
        )

    def _list_unless_covered(self, revision: int) -> None:
        if self._covered_revision < revision and self._revision is not None:
            logger.info(
                "watch lags behind the store, listing all objects again",
                extra={
                    "kind": self._source.label,
                    "revision": revision,
                    "covered_revision": self._covered_revision,
                },
            )
            self.restart()

    def restart(self) -> None:
        """List all objects again, because a waiting watch may have been dropped."""
        self._revision = None
        if self._step_task is not None and not self.lost:
            self._restarting = True
            self._step_task.cancel()

    async def run(self) -> None:
        """Read lists and changes until cancelled."""
        while True:
            self._step_task = asyncio.create_task(self._step())
            try:
                await self._step_task
            except asyncio.CancelledError:
                # A restart cancels only the step, but this task may be cancelled at the
                # same time.
                task = asyncio.current_task()
                if not self._restarting or (task is not None and task.cancelling()):
                    raise
            except HistoryLostError:
                logger.info(
                    "store history expired, listing all objects again",
                    extra={"kind": self._source.label},
                )
                self._revision = None
                self.on_interruption()
            except StoreUnavailableError as error:
                if isinstance(error, (StoreSilentError, StoreAnswerTooLargeError)):
                    # The store may have dropped the watch, and may drop the next one.
                    # Changes that are too large for one answer are so each time, but
                    # a list comes in pages.
                    self._revision = None
                self._mark_lost(error)
                await asyncio.sleep(self._backoff.next_s())
            finally:
                self._restarting = False

    async def _step(self) -> None:
        """List once if there is no revision to watch from, otherwise watch once."""
        if self._leader is not None:
            await self._leader.wait_until_reached()
        if self._revision is None:
            listing = await self._source.list_all()
            period = self._mark_answered(listing)
            self._revision = listing.revision
            self._listener.on_list(listing, period)
            return
        since = self._revision
        changes = await self._source.watch(since, self._watch_s)
        period = self._mark_answered(changes)
        self._revision = changes.revision
        if changes.changes:
            logger.info(
                "changes received",
                extra={
                    "kind": self._source.label,
                    "changes": len(changes.changes),
                    "revision": changes.revision,
                    "age_ms": round(changes.age_s * 1000),
                },
            )
            self._listener.on_changes(changes, period)
        if not changes.relayed:
            self.on_watched(since, changes)
        if changes.changes:
            await asyncio.sleep(self._pause_s)

    def _mark_lost(self, error: StoreUnavailableError) -> None:
        if not isinstance(error, StoreNotCalledError):
            self._store_failed = True
        if self._lost_s is None:
            self._lost_s = self._clock.monotonic_s()
            self._reached.clear()
            logger.warning(
                "store unreachable, retrying",
                extra={"kind": self._source.label, "error": str(error)},
            )
            self.on_interruption()

    def _mark_answered(
        self, answer: RecordList[Value] | RecordChanges[Value]
    ) -> ChangePeriod:
        """Record an answer and return the period in which its changes were made."""
        self._backoff.reset()
        now_s = self._clock.monotonic_s()
        begin_s = self._confirmed_s
        restored = self._covered_revision > 0 and era_of(answer.revision) > era_of(
            self._covered_revision
        )
        relay_outage = answer.after_outage and now_s - begin_s >= ENTRY_EXPIRY_MIN_S
        if self._store_failed or relay_outage or restored:
            self._store_failed = False
            self._regained_s = now_s
        # A relay may have an older confirmation than this daemon.
        self._confirmed_s = max(begin_s, now_s - answer.age_s)
        self._covered_revision = answer.revision
        self._relayed = answer.relayed
        if self._lost_s is not None:
            logger.info(
                "store reachable again",
                extra={"kind": self._source.label, "away_s": now_s - self._lost_s},
            )
            self._lost_s = None
            self._reached.set()
        if restored:
            self._note_restored(answer.revision)
        return ChangePeriod(begin_s, self.after_outage(), after_restore=restored)

    def _note_restored(self, revision: int) -> None:
        logger.warning(
            "objects come from an older copy of the store, listing them again later",
            extra={"kind": self._source.label, "era": era_of(revision)},
        )
        self.on_restored()
        asyncio.get_running_loop().call_later(RESTORE_SETTLE_S, self.restart)


def link_feeds(leader: StoreFeed[Any], *followers: StoreFeed[Any]) -> None:
    """Restart all other feeds on an interruption of one.

    The followers make no calls while the leader has an outage, and are confirmed or
    listed by what its watches return.
    """
    feeds = (leader, *followers)
    for follower in followers:
        follower.follow(leader)
    leader.on_watched = partial(_note_watch, followers)
    for feed in feeds:
        others = [other for other in feeds if other is not feed]
        feed.on_interruption = partial(_restart_all, others)


def _note_watch(
    feeds: Sequence[StoreFeed[Any]], since: int, changes: RecordChanges[Any]
) -> None:
    for feed in feeds:
        feed.note_watch(since, changes)


def _restart_all(feeds: Sequence[StoreFeed[Any]]) -> None:
    for feed in feeds:
        feed.restart()
