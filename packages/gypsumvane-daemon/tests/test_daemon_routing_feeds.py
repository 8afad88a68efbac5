"""Tests of store feeds, of their copies and of the relay to peers."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.routing.change_period import ChangePeriod
from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_daemon.routing import relayed_source
from gypsumvane_daemon.routing.feed_mirror import FeedMirror
from gypsumvane_daemon.routing.listener import HttpListener
from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.routing.peer_client import PeerError
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.ports import Record
from gypsumvane_daemon.routing.ports import RecordChanges
from gypsumvane_daemon.routing.ports import RecordList
from gypsumvane_daemon.routing.ports import RecordSource
from gypsumvane_daemon.routing.ports import StoreNotCalledError
from gypsumvane_daemon.routing.ports import StoreSilentError
from gypsumvane_daemon.routing.ports import StoreUnavailableError
from gypsumvane_daemon.routing.relay_handler import CONFIRMATION_AGE_MAX_S
from gypsumvane_daemon.routing.relay_handler import RelayHandler
from gypsumvane_daemon.routing.relayed_source import FIRST_LIST_PATIENCE_S
from gypsumvane_daemon.routing.relayed_source import RelayedSource
from gypsumvane_daemon.routing.routing_state import RoutingState
from gypsumvane_daemon.routing.state_listeners import LeafListener
from gypsumvane_daemon.routing.store_feed import FeedListener
from gypsumvane_daemon.routing.store_feed import StoreFeed
from gypsumvane_daemon.routing.store_feed import link_feeds
from gypsumvane_devtools.free_port import free_address
from gypsumvane_devtools.unlimited_guard import unlimited_guard
from waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable


NOW = ChangePeriod()
# Time after which a draining leaf must get no more requests.
DRAIN_S = 3.0


def record(name: str, payload: Any = 1) -> Record[Any]:
    """Return a record whose value is its payload."""
    return Record(name, payload, payload)


class FakeSource(RecordSource[Any]):
    """Source with a prepared list and a queue of watch results."""

    label = "things"

    def __init__(self) -> None:
        self.lists = 0
        self.watches: list[int] = []
        self.listing: RecordList[Any] = RecordList((), 1)
        self.answers: asyncio.Queue[RecordChanges[Any] | Exception] = asyncio.Queue()
        self.list_error: Exception | None = None

    async def list_all(self) -> RecordList[Any]:
        """Return the prepared list."""
        self.lists += 1
        if self.list_error is not None:
            raise self.list_error
        return self.listing

    async def watch(self, revision: int, wait_s: float) -> RecordChanges[Any]:
        """Wait for the next prepared answer."""
        self.watches.append(revision)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def decode(self, name: str, payload: Any) -> Record[Any] | None:
        """Return the record, None for the payload ``odd``."""
        return None if payload == "odd" else record(name, payload)


class RecordingListener(FeedListener[Any]):
    """Record what a feed reads."""

    def __init__(self) -> None:
        self.lists: list[tuple[list[str], bool]] = []
        self.changes: list[str] = []

    def on_list(self, listing: RecordList[Any], period: ChangePeriod) -> None:
        """Record the names in a list and whether it is marked as after an outage."""
        names = [entry.name for entry in listing.records]
        self.lists.append((names, period.after_outage))

    def on_changes(self, changes: RecordChanges[Any], period: ChangePeriod) -> None:
        """Record the names of changed objects."""
        self.changes += [name for name, _ in changes.changes]


class StoreFeedTest(unittest.IsolatedAsyncioTestCase):
    """Check when a feed lists and when it watches."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.tasks: list[asyncio.Task[None]] = []
        self.feed, self.source, self.listener = self.make()

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def make(self) -> tuple[StoreFeed[Any], FakeSource, RecordingListener]:
        """Return a feed with its source and listener."""
        source, listener = FakeSource(), RecordingListener()
        feed = StoreFeed(
            source, listener, watch_s=1.0, clock=self.clock, rng=random.Random(1)
        )
        return feed, source, listener

    def run_feed(self, feed: StoreFeed[Any]) -> None:
        """Run a feed in the background."""
        self.tasks.append(asyncio.create_task(feed.run()))

    async def test_watch_continues_from_the_last_revision(self) -> None:
        self.run_feed(self.feed)
        changes = RecordChanges((("a", record("a")),), 5)
        self.source.answers.put_nowait(changes)
        await wait_until(lambda: self.source.watches == [1, 5])
        self.assertEqual(self.listener.changes, ["a"])
        self.assertEqual(self.source.lists, 1)

    async def test_outage_continues_the_watch(self) -> None:
        """Guard against a full list after every short outage."""
        self.run_feed(self.feed)
        self.source.answers.put_nowait(StoreUnavailableError("down"))
        await wait_until(lambda: self.source.watches == [1, 1])
        self.assertTrue(self.feed.lost)
        self.source.answers.put_nowait(RecordChanges((), 4))
        await wait_until(lambda: not self.feed.lost)
        self.assertEqual(self.source.lists, 1)

    async def test_silent_watch_is_followed_by_a_list(self) -> None:
        """Guard against watches that are dropped one after the other (CONFIG)."""
        self.run_feed(self.feed)
        await wait_until(lambda: self.source.watches == [1])
        self.source.listing = RecordList((record("a"),), 2)
        self.source.answers.put_nowait(StoreSilentError("no answer"))
        await wait_until(lambda: self.source.watches == [1, 2])
        self.assertEqual(self.listener.lists[-1], (["a"], True))

    async def test_list_after_an_outage_is_marked(self) -> None:
        """Guard against dropping leaves whose entries expired in the outage."""
        self.run_feed(self.feed)
        self.source.answers.put_nowait(StoreUnavailableError("down"))
        self.source.answers.put_nowait(HistoryLostError("gone"))
        await wait_until(lambda: len(self.listener.lists) == 2)
        self.assertEqual([marked for _, marked in self.listener.lists], [False, True])

    async def test_interruption_of_one_feed_restarts_the_others(self) -> None:
        """Guard against a watch that the store has dropped silently."""
        other, source, _ = self.make()
        link_feeds(self.feed, other)
        self.run_feed(self.feed)
        self.run_feed(other)
        await wait_until(lambda: self.source.watches and source.watches)
        self.source.answers.put_nowait(HistoryLostError("gone"))
        await wait_until(lambda: source.lists == 2)

    async def test_followers_call_only_while_the_leader_reaches_the_store(self) -> None:
        """Guard against calls by every feed to a store that is down."""
        other, source, _ = self.make()
        link_feeds(self.feed, other)
        self.source.list_error = StoreUnavailableError("down")
        self.run_feed(self.feed)
        await wait_until(lambda: self.feed.lost)
        self.run_feed(other)
        await wait_until(lambda: self.source.lists >= 3)
        self.assertEqual(source.lists, 0)
        self.source.list_error = None
        await wait_until(lambda: source.lists == 1)

    async def link_running_feeds(self) -> tuple[StoreFeed[Any], FakeSource]:
        """Run a leader and a follower until both watch, and return the follower."""
        other, source, _ = self.make()
        link_feeds(self.feed, other)
        self.run_feed(self.feed)
        self.run_feed(other)
        await wait_until(lambda: self.source.watches and source.watches)
        self.clock.advance(1.0)
        return other, source

    async def test_change_of_another_kind_is_listed(self) -> None:
        """Guard against a silent watch behind one that is answered (CONFIG)."""
        _, source = await self.link_running_feeds()
        source.listing = RecordList((record("a"),), 2)
        self.source.answers.put_nowait(RecordChanges((), 2))
        await wait_until(lambda: source.watches == [1, 2])

    async def test_changes_of_the_leader_confirm_the_other_kinds(self) -> None:
        """Guard against a list of all kinds for each change of a leaf."""
        other, source = await self.link_running_feeds()
        self.assertEqual(other.confirmed_age_s(), 1.0)
        changes = RecordChanges((("a", record("a")), ("b", None)), 3)
        self.source.answers.put_nowait(changes)
        await wait_until(lambda: self.source.watches == [1, 3])
        self.assertEqual(other.confirmed_age_s(), 0.0)
        self.clock.advance(1.0)
        self.source.answers.put_nowait(RecordChanges((), 3))
        await wait_until(lambda: self.source.watches == [1, 3, 3])
        self.assertEqual(other.confirmed_age_s(), 0.0)
        self.assertEqual(source.lists, 1)

    async def test_cancellation_during_a_restart(self) -> None:
        """Guard against a planned stop that waits for a feed (soak seed 44).

        A restart cancels the current step; a cancellation of the feed at the same time
        must not be mistaken for it.
        """
        self.run_feed(self.feed)
        await wait_until(lambda: self.source.watches)
        self.feed.restart()
        self.tasks[0].cancel()
        async with asyncio.timeout(10):
            await asyncio.wait(self.tasks)
        self.assertTrue(self.tasks[0].cancelled())

    async def test_late_news_of_a_drain_begins_no_new_grace(self) -> None:
        """Guard against sends to a leaf that drained while a hub had lost the store.

        Each arrival of the news began a grace of its own (DRAIN, review/5).
        """
        state = RoutingState(DRAIN_S)
        feed = StoreFeed(
            self.source,
            LeafListener(state, self.clock),
            watch_s=1.0,
            clock=self.clock,
            rng=random.Random(1),
        )
        ready = LeafEntry("leaf", "s", "127.0.0.1:1", "a")
        draining = LeafEntry("leaf", "s", "127.0.0.1:1", "a", draining=True)
        self.source.listing = RecordList((Record("leaf", ready, 1),), 1)
        self.run_feed(feed)
        await wait_until(lambda: self.source.watches == [1])
        confirmed_s = self.clock.monotonic_s()
        self.clock.advance(2.0)
        changes = RecordChanges((("leaf", Record("leaf", draining, 1)),), 5)
        self.source.answers.put_nowait(changes)
        await wait_until(lambda: self.source.watches == [1, 5])
        self.assertTrue(state.registry.eligible("s", self.clock.monotonic_s()))
        self.assertEqual(state.registry.eligible("s", confirmed_s + DRAIN_S), [])

    async def test_lost_relays_are_no_outage_of_the_store(self) -> None:
        """Guard against a grace for entries that cannot have expired (DRAIN)."""
        self.run_feed(self.feed)
        self.source.answers.put_nowait(StoreNotCalledError("relays lost"))
        self.source.answers.put_nowait(HistoryLostError("gone"))
        await wait_until(lambda: len(self.listener.lists) == 2)
        self.assertEqual([marked for _, marked in self.listener.lists], [False, False])

    async def test_outage_that_a_relay_reports(self) -> None:
        """Guard against dropping leaves whose entries expired in an outage.

        In a short time without a confirmation no entry can have expired.
        """
        for away_s, marked in ((1.0, False), (5.0, True)):
            with self.subTest(away_s):
                feed, source, listener = self.make()
                self.run_feed(feed)
                await wait_until(lambda source=source: source.watches)
                self.clock.advance(away_s)
                source.listing = RecordList((), 2, relayed=True, after_outage=True)
                source.answers.put_nowait(HistoryLostError("gone"))
                await wait_until(lambda listener=listener: len(listener.lists) == 2)
                self.assertEqual(listener.lists[-1], ([], marked))

    async def test_age_of_the_confirmation(self) -> None:
        self.source.listing = RecordList((), 1, age_s=0.5)
        self.run_feed(self.feed)
        await wait_until(lambda: self.source.watches)
        self.clock.advance(1.0)
        self.assertAlmostEqual(self.feed.confirmed_age_s(), 1.5)


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    """Check the copy of objects and its history of changes."""

    def setUp(self) -> None:
        self.listener = RecordingListener()
        self.mirror: FeedMirror[Any] = FeedMirror(self.listener)
        self.mirror.on_list(RecordList((record("a"), record("b")), 10), NOW)

    async def test_changes_since_a_revision(self) -> None:
        self.mirror.on_changes(RecordChanges((("c", record("c")),), 12), NOW)
        self.mirror.on_changes(RecordChanges((("a", None),), 15), NOW)
        both = [("c", 1), ("a", None)]
        self.assertEqual(await self.mirror.changes(10, 0.0), (both, 15))
        self.assertEqual(await self.mirror.changes(12, 0.0), ([("a", None)], 15))
        self.assertEqual(sorted(self.mirror.objects()), [("b", 1), ("c", 1)])
        self.assertEqual(self.listener.changes, ["c", "a"])

    async def test_changes_before_the_history(self) -> None:
        """Guard against changes that a peer misses without notice."""
        with self.assertRaises(HistoryLostError):
            await self.mirror.changes(9, 0.0)

    async def test_revision_above_that_of_the_copy(self) -> None:
        """Guard against rejecting a peer because changes of other kinds are newer."""
        self.assertEqual(await self.mirror.changes(11, 0.0), ([], 11))
        waiting = asyncio.create_task(self.mirror.changes(11, 30.0))
        await asyncio.sleep(0)
        self.mirror.on_changes(RecordChanges((("c", record("c")),), 15), NOW)
        self.assertEqual((await waiting)[0], [("c", 1)])

    async def test_waiting_peer_gets_the_change(self) -> None:
        waiting = asyncio.create_task(self.mirror.changes(10, 30.0))
        await asyncio.sleep(0)
        self.mirror.on_changes(RecordChanges((("c", record("c")),), 12), NOW)
        self.assertEqual((await waiting)[0], [("c", 1)])

    async def test_change_at_the_end_of_the_wait(self) -> None:
        """Guard against skipping a change that arrives as the wait times out.

        The peer then sent requests to a leaf that had left 5 s before
        (sustanar-hq-grown, mix --seed 779461485647).
        """
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(self.mirror.changes(10, 0.005))
        await asyncio.sleep(0)
        change: RecordChanges[Any] = RecordChanges((("c", record("c")),), 12)
        loop.call_later(0.006, self.mirror.on_changes, change, NOW)
        # Both timers are due in the same iteration of the loop.
        loop.call_soon(time.sleep, 0.02)
        changes, revision = await waiting
        self.assertEqual((changes, revision), ([("c", 1)], 12))

    async def test_new_list_ends_the_wait_of_a_peer(self) -> None:
        """Guard against a peer that misses the changes in a new list."""
        waiting = asyncio.create_task(self.mirror.changes(10, 30.0))
        await asyncio.sleep(0)
        self.mirror.on_list(RecordList((record("z"),), 20), NOW)
        with self.assertRaises(HistoryLostError):
            await waiting


class RecordingPeerClient(PeerClient):
    """Client whose calls fail and which records the time that they may take."""

    def __init__(self) -> None:
        super().__init__()
        self.connect_timeouts_s: list[float] = []
        self.timeouts_s: list[float] = []

    async def call(
        self,
        *_: Any,
        timeout_s: float,
        connect_timeout_s: float = 0.5,
        **__: Any,
    ) -> Any:
        """Record the times to connect and to answer, and fail."""
        self.connect_timeouts_s.append(connect_timeout_s)
        self.timeouts_s.append(timeout_s)
        raise PeerError("no connection")


class FirstConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Check the time that a connection to a hub may take."""

    async def test_first_list_does_not_wait_for_a_hub_that_is_down(self) -> None:
        """Guard against half a second of refusals at a start of all daemons.

        The hub did not accept connections yet, and the time to connect was 0.5 s.
        """
        store = FakeSource()
        clock = ManualClock()
        client = RecordingPeerClient()
        source = RelayedSource(
            store,
            relays=lambda: [DaemonRecord("hub", "a", "none:1", "none:2")],
            remote_relays=list,
            is_hub=lambda: False,
            may_be_entry=lambda: True,
            peers=list,
            client=client,
            news_bound_s=DRAIN_S,
            clock=clock,
            rng=random.Random(1),
        )
        await source.list_all()
        clock.advance(60.0)
        await source.list_all()
        first_s, later_s = client.connect_timeouts_s
        self.assertLessEqual(first_s, 0.1)
        self.assertGreater(later_s, first_s)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Check a source that reads from a hub before the store."""

    async def asyncSetUp(self) -> None:
        # A connection on a busy machine may take longer than the first list waits.
        patch = mock.patch.object(relayed_source, "FIRST_CONNECT_TIMEOUT_S", 10.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.age_s = 0.3
        self.mirror: FeedMirror[Any] = FeedMirror(RecordingListener())
        self.mirror.on_list(RecordList((record("a"), record("b", "odd")), 10), NOW)
        self.mirror.confirmed_age_s = lambda: self.age_s
        self.leaves: FeedMirror[Any] = FeedMirror(RecordingListener())
        self.leaves.confirmed_age_s = lambda: 0.0
        mirrors = {"things": self.mirror, "leaves": self.leaves}
        handler = RelayHandler(mirrors)
        self.address = free_address()
        self.listener = HttpListener(
            "relay", self.address, handler.handle, unlimited_guard()
        )
        await self.listener.start()
        self.client = PeerClient()
        self.store = FakeSource()
        self.store.listing = RecordList((record("s"),), 30)
        self.clock = ManualClock()
        self.remote_hubs: list[DaemonRecord] = []
        self.is_hub = True
        self.may_be_entry = True
        self.source = RelayedSource(
            self.store,
            relays=self.hubs(),
            remote_relays=lambda: self.remote_hubs,
            is_hub=lambda: self.is_hub,
            may_be_entry=lambda: self.may_be_entry,
            peers=self.hubs(),
            client=self.client,
            news_bound_s=DRAIN_S,
            clock=self.clock,
            rng=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.listener.stop()

    def hubs(self) -> Callable[[], list[DaemonRecord]]:
        """Return a function that returns the only hub."""
        hub = DaemonRecord("hub", "a", "none:1", self.address)
        return lambda: [hub]

    async def names(self) -> list[str]:
        """Return the names in a list."""
        listing = await self.source.list_all()
        return [entry.name for entry in listing.records]

    async def test_hub_is_read_in_place_of_the_store(self) -> None:
        listing = await self.source.list_all()
        self.assertEqual([entry.name for entry in listing.records], ["a"])
        self.assertEqual((listing.revision, listing.relayed), (10, True))
        self.assertGreaterEqual(listing.age_s, 0.3)
        self.mirror.on_changes(
            RecordChanges((("c", record("c")), ("a", None)), 12), NOW
        )
        watched = await self.source.watch(10, 5.0)
        self.assertEqual(
            [(name, entry is None) for name, entry in watched.changes],
            [("c", False), ("a", True)],
        )
        self.assertEqual(self.store.lists, 0)

    async def test_hub_with_an_unconfirmed_copy_is_not_used(self) -> None:
        """Guard against reading from a hub that is cut off from the store."""
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        self.assertEqual(await self.names(), ["s"])
        self.store.answers.put_nowait(RecordChanges((), 31))
        self.assertEqual((await self.source.watch(30, 5.0)).revision, 31)

    async def start_remote_hub(self) -> FeedMirror[Any]:
        """Start a hub of another failure domain with a confirmed copy."""
        mirror: FeedMirror[Any] = FeedMirror(RecordingListener())
        mirror.on_list(RecordList((record("r"),), 20), NOW)
        address = free_address()
        mirror.confirmed_age_s = lambda: 0.1
        handler = RelayHandler({"things": mirror})
        listener = HttpListener(
            "remote relay", address, handler.handle, unlimited_guard()
        )
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.remote_hubs = [DaemonRecord("remote", "b", "none:1", address)]
        return mirror

    async def test_age_of_a_kind_is_its_own(self) -> None:
        """Guard against a copy that passes for as recent as the leaves (CONFIG)."""
        self.leaves.on_list(RecordList((), 10), NOW)
        self.assertGreaterEqual((await self.source.list_all()).age_s, 0.3)
        self.age_s = CONFIRMATION_AGE_MAX_S + 1
        self.assertEqual(await self.names(), ["s"])

    async def test_watch_ends_with_the_confirmation_of_the_hub(self) -> None:
        """Guard against a peer that waits at a hub that has lost the store (DRAIN)."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time() - CONFIRMATION_AGE_MAX_S + 0.1
        self.mirror.confirmed_age_s = lambda: loop.time() - begun_s
        path = "/v1/relay/things?since=10&wait_s=1"
        with self.assertRaisesRegex(PeerError, "status 503"):
            await self.client.call("GET", self.address, path, timeout_s=9.0)

    async def test_hub_of_another_domain_stands_in(self) -> None:
        """Guard against a call to the store by each daemon whose hubs are cut off."""
        self.is_hub = False
        mirror = await self.start_remote_hub()
        self.assertEqual(await self.names(), ["a"])
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        mirror.on_changes(RecordChanges((("c", record("c")),), 22), NOW)
        watched = await self.source.watch(20, 5.0)
        self.assertEqual([name for name, _ in watched.changes], ["c"])
        self.assertEqual(await self.names(), ["r", "c"])
        self.assertEqual((self.store.lists, self.store.watches), (0, []))

    async def test_store_that_fails_for_the_hubs_only(self) -> None:
        """Guard against a daemon that waits for hubs without the store (DRAIN).

        Nine of twelve daemons reached the store, but not their hubs' copies (review/4).
        """
        self.is_hub = False
        await self.names()
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        self.source.copy_age_s = lambda: CONFIRMATION_AGE_MAX_S
        self.store.answers.put_nowait(RecordChanges((), 31))
        self.assertEqual((await self.source.watch(10, 5.0)).revision, 31)
        self.source.copy_age_s = lambda: 0.0
        self.clock.advance(1.0)
        self.store.answers.put_nowait(RecordChanges((), 32))
        self.assertEqual((await self.source.watch(31, 5.0)).revision, 32)

    async def test_watch_at_a_hub_ends_before_the_own_copy_is_too_old(self) -> None:
        """Guard against news that waits for a hub that is silent (DRAIN)."""
        client = RecordingPeerClient()
        self.source._client = client  # noqa: SLF001
        for copy_age_s in (0.0, 1.0, 1.5, 1.9):
            self.source.copy_age_s = lambda age_s=copy_age_s: age_s
            self.store.answers.put_nowait(RecordChanges((), 31))
            await self.source.watch(30, 5.0)
            self.clock.advance(60.0)
            # A second hub may be silent too, and the store takes a moment.
            self.assertLess(copy_age_s + client.timeouts_s[-1], DRAIN_S - 0.5)

    async def test_outage_of_the_store_costs_few_calls(self) -> None:
        """Guard against a fleet that retries a failing store in every daemon."""
        await self.names()
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        self.store.list_error = StoreUnavailableError("down")
        for is_hub, calls_max in ((False, 3), (True, 10)):
            self.is_hub = is_hub
            lists = self.store.lists
            for _ in range(10):
                with self.assertRaises(StoreUnavailableError):
                    await self.source.list_all()
                self.clock.advance(0.5)
            self.assertLessEqual(self.store.lists - lists, calls_max)
        self.age_s = 0.0
        self.clock.advance(1.0)
        self.assertEqual(await self.names(), ["a"])

    async def test_first_list_of_a_daemon_without_callers(self) -> None:
        """Guard against a read of all objects by each daemon of a fleet that starts.

        The hub starts as well and has no confirmed copy yet.
        """
        self.is_hub = self.may_be_entry = False
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        with self.assertRaises(StoreUnavailableError):
            await self.names()
        self.assertEqual(self.store.lists, 0)
        self.age_s = 0.0
        self.clock.advance(1.0)
        self.assertEqual(await self.names(), ["a"])

    async def test_first_list_does_not_wait_for_a_hub_for_long(self) -> None:
        """Guard against a daemon that stays uninformed without a hub."""
        self.is_hub = self.may_be_entry = False
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        self.clock.advance(FIRST_LIST_PATIENCE_S)
        self.assertEqual(await self.names(), ["s"])

    async def test_start_during_a_store_outage(self) -> None:
        """Guard against a daemon that cannot route until the store is back."""
        self.age_s = CONFIRMATION_AGE_MAX_S + 0.1
        self.store.list_error = StoreUnavailableError("down")
        self.assertEqual(await self.names(), ["a"])
        with self.assertRaises(StoreUnavailableError):
            await self.names()

    async def test_hub_with_an_older_revision_is_not_used(self) -> None:
        """Guard against going back to an older state."""
        self.age_s = 100.0
        await self.names()
        self.age_s = 0.0
        self.clock.advance(60.0)
        self.assertEqual(await self.names(), ["s"])
        self.clock.advance(60.0)
        watched = await self.source.watch(30, 5.0)
        self.assertEqual((watched.changes, watched.revision), ((), 30))
        self.assertEqual(self.store.watches, [])

    async def test_lost_history_of_the_hub(self) -> None:
        with self.assertRaises(HistoryLostError):
            await self.source.watch(9, 5.0)

    async def test_hub_that_has_stopped(self) -> None:
        await self.listener.stop()
        self.assertEqual(await self.names(), ["s"])

    async def test_invalid_relay_requests(self) -> None:
        for path, status in (
            ("/v1/relay/unknown", 404),
            ("/v1/relay/things?since=x", 400),
            ("/v1/relay/things?since=9", 410),
        ):
            with self.subTest(path):
                with self.assertRaisesRegex(Exception, f"status {status}"):
                    await self.client.call("GET", self.address, path, timeout_s=9.0)
