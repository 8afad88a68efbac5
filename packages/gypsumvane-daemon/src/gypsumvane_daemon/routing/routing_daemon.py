"""Assembly and life cycle of a routing daemon."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from collections.abc import Coroutine
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from aiohttp.web import Response

from gypsumvane_core.client_budget import MIB
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.entry_selection import limit_share
from gypsumvane_core.routing.latency_tracker import LatencyTracker
from gypsumvane_core.routing.leaf_choice import LeafChooser
from gypsumvane_core.routing.move_evidence import START_SEPARATOR
from gypsumvane_core.routing.pause_detector import PauseDetector
from gypsumvane_core.routing.peer_table import PeerTable
from gypsumvane_core.routing.retry_budget import RetryBudget
from gypsumvane_core.routing.traffic_split import TrafficSplit
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_daemon.client_guard import ClientGuard
from gypsumvane_daemon.client_guard import client_limits
from gypsumvane_daemon.garbage_collection import tune_garbage_collector
from gypsumvane_daemon.routing.entry_directory import EntryDirectory
from gypsumvane_daemon.routing.entry_handler import EntryHandler
from gypsumvane_daemon.routing.leaf_attempt import LeafSender
from gypsumvane_daemon.routing.leaf_pool import LeafPool
from gypsumvane_daemon.routing.listener import HttpListener
from gypsumvane_daemon.routing.listener import ListenError
from gypsumvane_daemon.routing.listener import text_response
from gypsumvane_daemon.routing.move_exchange import MoveExchange
from gypsumvane_daemon.routing.move_recorder import MoveRecorder
from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.routing.peer_exchange import CONFIG_PATH
from gypsumvane_daemon.routing.peer_exchange import PING_PATH
from gypsumvane_daemon.routing.peer_exchange import PeerExchange
from gypsumvane_daemon.routing.relay_handler import RELAY_PATH
from gypsumvane_daemon.routing.request_log import RequestLog
from gypsumvane_daemon.routing.routing_feeds import RoutingFeeds
from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics
from gypsumvane_daemon.routing.routing_state import RoutingState
from gypsumvane_daemon.routing.service_call import CallContext
from gypsumvane_daemon.routing.state_listeners import ConfigListener
from gypsumvane_daemon.routing.stop_sequence import StopSequence

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from gypsumvane_core.client_budget import ClientLimits
    from gypsumvane_core.routing.config import RoutingConfig
    from gypsumvane_daemon.client_guard import EndedClient
    from gypsumvane_daemon.routing.ports import Platform
    from gypsumvane_daemon.routing.settings import RoutingSettings
    from gypsumvane_daemon.routing.store_feed import StoreFeed

logger = logging.getLogger(__name__)

# Coroutine function that runs until it is cancelled.
BackgroundWork = Callable[[], Coroutine[Any, Any, None]]

# Interval at which fleet-wide limits are divided again and the channels of removed
# leaves are closed.
MAINTENANCE_INTERVAL_S = 0.5
# Time after the start or a pause in which all daemons that serve are heard, directly
# or by reports of hubs.
PEERS_HEARD_S = 2.5


class RoutingDaemon:
    """Build the components of a daemon and run them until a planned stop."""

    def __init__(self, settings: RoutingSettings, platform: Platform) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = SystemClock()
        self.state = RoutingState(settings.drain_s)
        self.metrics = RoutingMetrics()
        self.budget = RetryBudget(settings.retry_allowance)
        self.moves = MoveRegistry(settings.canary_bound)
        self.own = DaemonRecord(
            name=settings.daemon_name,
            failure_domain=settings.failure_domain,
            entry_address=settings.entry_address,
            peer_address=settings.peer_address,
            capacity_cores=settings.capacity_cores,
        )
        self.peer_table = PeerTable(self.own)
        self.directory = EntryDirectory(
            self.own, self.peer_table, self.state, self.clock
        )
        self._rng = random.Random()
        self.pool = LeafPool(settings.daemon_name, self._rng)
        self._pauses = PauseDetector(self.clock.monotonic_s())
        self._stop = asyncio.Event()
        self._split = TrafficSplit()
        self._latencies = LatencyTracker()
        self._context = self._call_context()
        # Shared by all listeners of the process.
        self.clients = ClientGuard(_client_limits(settings), self._log_ended_client)
        self.pool.allowance.fit_memory(settings.memory_mb * MIB)
        self.entry = EntryHandler(
            names=platform.headers,
            state=self.state,
            context=self._context,
            config_apply_s=settings.config_apply_s,
            split=self._split,
            metrics=self.metrics,
            pauses=self._pauses,
            clock=self.clock,
            rng=self._rng,
        )
        self._configs = ConfigListener(self.state)
        self._peer_client = PeerClient()
        # Names this start of the daemon.
        start_id = f"{self._rng.getrandbits(64):016x}"
        reporter = f"{self.own.name}{START_SEPARATOR}{start_id}"
        move_exchange = MoveExchange(reporter, self.moves, self.clock)
        self.peers = PeerExchange(
            self.own,
            table=self.peer_table,
            state=self.state,
            configs=self._configs,
            moves=move_exchange,
            platform=platform,
            client=self._peer_client,
            seeds=settings.seed_addresses,
            pauses=self._pauses,
            clock=self.clock,
            rng=self._rng,
        )
        # Peers have to stop sending to a bad version, too.
        move_exchange.on_taken_back = self.peers.ping_now
        self._context.orders_age_s = lambda: self.state.orders_age_s()
        self._context.on_taken_back = self.peers.ping_now
        self._entry_listener = HttpListener(
            "callers", settings.entry_address, self.entry.handle, self.clients
        )
        self._entry_listener.rules.request_id_header = platform.headers.request_id
        self._own_listeners = (
            self._entry_listener,
            HttpListener(
                "peers", settings.peer_address, self._handle_peer, self.clients
            ),
            HttpListener(
                "metrics", settings.metrics_address, self._render_metrics, self.clients
            ),
        )
        self.state.on_config(self._config_applied)
        self._recorder = MoveRecorder(
            self.moves,
            self.state,
            platform,
            self._is_leader,
            self._reports_since_s,
            self.clock,
        )
        self._feeds = RoutingFeeds(
            platform,
            self.state,
            self._configs,
            self._recorder,
            peers=self.peer_table,
            client=self._peer_client,
            news_bound_s=settings.news_bound_s,
            on_restored=self.peers.register_again,
            clock=self.clock,
            rng=self._rng,
        )

    def _call_context(self) -> CallContext:
        settings = self.settings
        sender = LeafSender(
            self.platform.headers, self.pool, self.state.registry, self.clock
        )
        return CallContext(
            sender=sender,
            chooser=LeafChooser(settings.failure_domain, self._rng),
            budget=self.budget,
            moves=self.moves,
            latencies=self._latencies,
            clock=self.clock,
            log=RequestLog(self.clock, self.metrics),
            region_of_domain=settings.region_of_domain,
            cold_bound=settings.cold_start_bound,
        )

    def apply_settings(self, settings: RoutingSettings) -> None:
        """Apply the settings that can change while the daemon runs."""
        self.settings = settings
        self.budget.allowance = settings.retry_allowance
        self.clients.budget.limits = _client_limits(settings)
        self.pool.allowance.fit_memory(settings.memory_mb * MIB)
        self.state.registry.drain_s = settings.drain_s
        self.peers.seeds = settings.seed_addresses

    async def run(
        self,
        listeners: tuple[HttpListener, ...],
        further_work: tuple[BackgroundWork, ...] = (),
    ) -> None:
        """Serve until stop is called, with the platform's listeners and work.

        Raises ListenError if an address cannot be bound, and the error of a
        background task that fails.
        """
        listeners = (*listeners, *self._own_listeners)
        try:
            for listener in listeners:
                await listener.start()
        except ListenError:
            await self._close(listeners)
            raise
        logger.info("started", extra={"failure_domain": self.settings.failure_domain})
        tasks = [
            asyncio.create_task(work())
            for work in (*self._background_work(), *further_work)
        ]
        tune_garbage_collector()
        try:
            await self._wait(tasks)
            await StopSequence(
                self.state,
                self.entry,
                self.peers,
                answers_waiting=partial(
                    self.clients.answers_waiting, self._entry_listener.name
                ),
                grace_s=self.settings.stop_grace_s,
                clock=self.clock,
            ).run()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close(listeners)

    async def _close(self, listeners: tuple[HttpListener, ...]) -> None:
        for listener in listeners:
            await listener.stop()
        self.peers.cancel_pings()
        await self._peer_client.close()
        await self.pool.close()
        await self.platform.close()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    async def _wait(self, tasks: list[asyncio.Task[None]]) -> None:
        """Wait for a planned stop and raise the error of a task that fails."""
        stopped = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait(
            [stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        for task in done:
            task.result()

    def _background_work(self) -> tuple[BackgroundWork, ...]:
        return (
            *(partial(self._follow, feed) for feed in self._feeds.all()),
            partial(self.peers.run, first_start=self.settings.first_start),
            self._recorder.run,
            self._maintain,
            self.entry.watch_pauses,
            self.clients.run,
        )

    async def _follow(self, feed: StoreFeed[Any]) -> None:
        # Started once the hubs are known, because reading from them spares the store
        # most calls.
        await self.peers.listed.wait()
        await feed.run()

    async def _maintain(self) -> None:
        """Keep this daemon's shares of limits and the open channels up to date."""
        # Requests are routed only after this, once the leaves are known.
        await self.peers.listed.wait()
        while True:
            now_s = self.clock.monotonic_s()
            count = self.peer_table.fleet_size(now_s)
            entries = self._limit_members(now_s)
            share = limit_share(self.own.name, entries, count)
            self.pool.set_members(tuple(sorted(entry.name for entry in entries)))
            self.budget.share = share
            self.pool.share = share
            self.moves.share = share
            self.pool.keep_only(self.state.registry.entries())
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _limit_members(self, now_s: float) -> list[DaemonRecord]:
        """Return the entry daemons, which divide the limits of the fleet.

        Load: all daemons start or wake at the same time. Each of them hears only later
        which others serve, and would use the limits of the whole fleet.
        """
        if now_s - self._pauses.running_since_s(now_s) < PEERS_HEARD_S:
            return self.peer_table.expected_entries(now_s)
        return self.directory.entries()

    def _config_applied(self, config: RoutingConfig) -> None:
        self._split.reset()
        self._latencies.keep_only({route.name for route in config.routes})
        self._entry_listener.set_idle_timeout(config.limits.idle_timeout_s)
        rules = self._entry_listener.rules
        rules.head_bytes_max = config.limits.header_bytes
        rules.head_timeout_s = config.limits.header_timeout_s
        if config.routes and not self.state.stopping:
            self.peers.ping_now()

    def _log_ended_client(self, client: EndedClient) -> None:
        self.metrics.count(
            "clients_ended",
            listener=client.listener,
            reason=client.reason,
            phase=client.phase,
        )
        self._context.log.line("client_ended", **client.log_fields())

    def _is_leader(self) -> bool:
        """Return whether this is the first entry daemon, which records moves."""
        entries = self.directory.entries()
        return bool(entries) and entries[0].name == self.own.name

    def _reports_since_s(self, now_s: float) -> float:
        """Return since when reports of peers could be received without a pause."""
        if self.peer_table.fleet_size(now_s) == 1:
            return -math.inf
        return self._pauses.running_since_s(now_s)

    async def _handle_peer(self, request: BaseRequest) -> Response:
        if request.path == PING_PATH:
            return await self.peers.handle_ping(request)
        if request.path.startswith(RELAY_PATH):
            return await self._feeds.relay.handle(request)
        if request.path == CONFIG_PATH:
            return await self.peers.handle_config(request)
        return text_response(404, "unknown path\n")

    async def _render_metrics(self, request: BaseRequest) -> Response:
        return Response(body=self.metrics.render(), content_type="text/plain")


def _client_limits(settings: RoutingSettings) -> ClientLimits:
    return client_limits(
        memory_mb=settings.memory_mb, descriptors_max=settings.descriptors_max
    )
