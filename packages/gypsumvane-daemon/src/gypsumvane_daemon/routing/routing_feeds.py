"""Feeds of a routing daemon and the copies that it relays to peers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from gypsumvane_daemon.routing.feed_mirror import FeedMirror
from gypsumvane_daemon.routing.relay_handler import RelayHandler
from gypsumvane_daemon.routing.relayed_source import RelayedSource
from gypsumvane_daemon.routing.state_listeners import EvacuationListener
from gypsumvane_daemon.routing.state_listeners import LeafListener
from gypsumvane_daemon.routing.store_feed import QUICK_WATCH_S
from gypsumvane_daemon.routing.store_feed import RARE_WATCH_S
from gypsumvane_daemon.routing.store_feed import SLOW_WATCH_S
from gypsumvane_daemon.routing.store_feed import StoreFeed
from gypsumvane_daemon.routing.store_feed import link_feeds

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.daemon_record import DaemonRecord
    from gypsumvane_core.routing.peer_table import PeerTable
    from gypsumvane_daemon.routing.move_recorder import MoveRecorder
    from gypsumvane_daemon.routing.peer_client import PeerClient
    from gypsumvane_daemon.routing.ports import Platform
    from gypsumvane_daemon.routing.ports import RecordSource
    from gypsumvane_daemon.routing.routing_state import RoutingState
    from gypsumvane_daemon.routing.state_listeners import ConfigListener
    from gypsumvane_daemon.routing.store_feed import FeedListener

Value = TypeVar("Value")

# Pause after a watch that returned changes, so that leaves that register together
# cost a single watch. Together with the delay of a watch it stays far below the 3 s
# for which a draining leaf still serves.
LEAF_CHANGES_PAUSE_S = 0.4


class RoutingFeeds:
    """Create one feed per kind of object and a relay of all kinds."""

    def __init__(
        self,
        platform: Platform,
        state: RoutingState,
        configs: ConfigListener,
        moves: MoveRecorder,
        *,
        peers: PeerTable,
        client: PeerClient,
        news_bound_s: float,
        on_restored: Callable[[], None],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._peers = peers
        self._client = client
        # Time in which changes have to be in force.
        self._news_bound_s = news_bound_s
        self._clock = clock
        self._rng = rng
        self._mirrors: dict[str, FeedMirror[Any]] = {}
        self._leaves = self._feed(
            platform.leaves,
            LeafListener(state, clock),
            watch_s=QUICK_WATCH_S,
            pause_s=LEAF_CHANGES_PAUSE_S,
        )
        config_feed = self._feed(platform.configs, configs, watch_s=SLOW_WATCH_S)
        order_feed = self._feed(platform.moves, moves, watch_s=RARE_WATCH_S)
        evacuation_feed = self._feed(
            platform.evacuations, EvacuationListener(state), watch_s=RARE_WATCH_S
        )
        self._others: tuple[StoreFeed[Any], ...] = (
            config_feed,
            order_feed,
            evacuation_feed,
        )
        link_feeds(self._leaves, *self._others)
        self._leaves.on_restored = on_restored
        state.leaves_age_s = self._leaves.confirmed_age_s
        state.config_age_s = config_feed.confirmed_age_s
        state.orders_age_s = order_feed.confirmed_age_s
        self.relay = RelayHandler(self._mirrors)

    def all(self) -> tuple[StoreFeed[Any], ...]:
        """Return the feeds of all kinds."""
        return (self._leaves, *self._others)

    def _feed(
        self,
        source: RecordSource[Value],
        listener: FeedListener[Value],
        *,
        watch_s: float,
        pause_s: float = 0.0,
    ) -> StoreFeed[Value]:
        mirror = self._mirrors[source.label] = FeedMirror(listener)
        relayed = RelayedSource(
            source,
            relays=partial(self._select_now, self._peers.relays),
            remote_relays=partial(self._select_now, self._peers.remote_hubs),
            is_hub=self._is_hub,
            may_be_entry=self._may_be_entry,
            peers=partial(self._select_now, self._peers.present),
            client=self._client,
            news_bound_s=self._news_bound_s,
            clock=self._clock,
            rng=self._rng,
        )
        feed = StoreFeed(
            relayed,
            mirror,
            watch_s=watch_s,
            pause_s=pause_s,
            clock=self._clock,
            rng=self._rng,
        )
        mirror.confirmed_age_s = feed.confirmed_age_s
        mirror.after_outage = feed.after_outage
        relayed.copy_age_s = feed.confirmed_age_s
        return feed

    def _is_hub(self) -> bool:
        return self._peers.is_hub(self._clock.monotonic_s())

    def _may_be_entry(self) -> bool:
        return self._peers.may_be_entry(self._clock.monotonic_s())

    def _select_now(
        self, select: Callable[[float], list[DaemonRecord]]
    ) -> list[DaemonRecord]:
        return select(self._clock.monotonic_s())
