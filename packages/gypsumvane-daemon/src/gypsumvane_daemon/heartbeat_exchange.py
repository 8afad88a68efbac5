"""Heartbeats between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.failure_detector import FAILURES_MIN
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply
from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.membership import MembershipState
    from gypsumvane_core.messages import Member
    from gypsumvane_daemon.confirmation_watch import ConfirmationWatch
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.membership_ports import HeartbeatContributor
    from gypsumvane_daemon.membership_signals import MembershipSignals
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.peer_network import PeerNetwork
    from gypsumvane_daemon.view_exchange import ViewExchange

logger = logging.getLogger(__name__)

# Limits the time to send the final heartbeats.
FINAL_HEARTBEAT_TIMEOUT_S = 1.0


class HeartbeatExchange:
    """Send heartbeats to each peer in a task of its own and answer theirs."""

    def __init__(
        self,
        identity: DaemonIdentity,
        state: MembershipState,
        *,
        network: PeerNetwork,
        metrics: MetricsService,
        signals: MembershipSignals,
        views: ViewExchange,
        confirmation: ConfirmationWatch,
        contributors: Iterable[HeartbeatContributor],
        is_ready: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._seeds = identity.settings.membership.seed_addresses
        self._interval_s = identity.settings.membership.heartbeat_interval_ms / 1000
        # Suspicion needs FAILURES_MIN unanswered heartbeats, so that each gets
        # its part of suspect_after_s.
        self._timeout_s = max(
            2 * self._interval_s, state.times.suspect_after_s / FAILURES_MIN
        )
        self._state = state
        self._network = network
        self._metrics = metrics
        self._signals = signals
        self._views = views
        self._confirmation = confirmation
        self._contributors = contributors
        self._is_ready = is_ready
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        network.register(Heartbeat, self._on_heartbeat)

    async def run(self) -> None:
        """Keep one connection and one task per peer of the view until cancelled."""
        while True:
            await self._signals.peers_changed.wait()
            self._signals.peers_changed.clear()
            addresses = self._peer_addresses()
            await self._network.set_peers(addresses)
            for vm_id in set(self._tasks) - set(addresses):
                self._tasks.pop(vm_id).cancel()
                self._wake_events.pop(vm_id, None)
            for vm_id in set(addresses) - set(self._tasks):
                self._wake_events[vm_id] = asyncio.Event()
                self._tasks[vm_id] = asyncio.create_task(
                    self._run_peer(vm_id), name=f"heartbeat-{vm_id}"
                )

    async def close(self) -> None:
        """Cancel the tasks of all peers."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()

    def send_now(self) -> None:
        """Send the next heartbeat to every peer without waiting for the interval."""
        for wake_event in self._wake_events.values():
            wake_event.set()

    async def send_final(self) -> None:
        """Send a final heartbeat to every peer.

        Waits at most FINAL_HEARTBEAT_TIMEOUT_S for the replies.
        """
        exchanges = [self._exchange(vm_id) for vm_id in self._network.peer_ids()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_HEARTBEAT_TIMEOUT_S):
                await asyncio.gather(*exchanges, return_exceptions=True)

    def publish_gone(self, count: int, source: str) -> None:
        """Publish a number of incarnations newly known to be gone."""
        if count:
            self._metrics.count("gone_incarnations", count, source=source)
            logger.info(
                "daemon incarnations found to have ended", extra={"count": count}
            )
            self._signals.write_requested.set()
            self.send_now()
            self._signals.notify_changed()

    def _peer_addresses(self) -> dict[str, str]:
        view = self._state.view
        others: Iterable[Member] = []
        if view is not None:
            others = view.others(self._identity.incarnation)
        known = {
            m.vm_id: m.peer_address
            for m in others
            if m.vm_id != self._identity.vm_id and m.peer_address
        }
        if self._state.is_member():
            return known
        seeds = {
            f"seed:{address}": address
            for address in self._seeds
            if address not in known.values() and address != self._identity.peer_address
        }
        return known | seeds

    async def _run_peer(self, vm_id: str) -> None:
        wake_event = self._wake_events[vm_id]
        while True:
            wake_event.clear()
            await self._exchange(vm_id)
            await wait_for_event(wake_event, timeout_s=self._interval_s)

    async def _exchange(self, vm_id: str) -> None:
        sent_at_s = self._state.clock.monotonic_s()
        heartbeat = Heartbeat(
            ready=self._is_ready(), **self._state.heartbeat(reply=False)
        )
        for contributor in self._contributors:
            contributor.contribute(heartbeat, vm_id)
        try:
            reply = await self._network.request(
                vm_id, heartbeat, timeout_s=self._timeout_s
            )
        except PeerError:
            self._on_unanswered(vm_id, sent_at_s)
            return
        if isinstance(reply, HeartbeatReply):
            await self._on_reply(vm_id, reply, sent_at_s)

    def _on_unanswered(self, vm_id: str, sent_at_s: float) -> None:
        self._metrics.count("heartbeats_unanswered")
        view = self._state.view
        for member in view.others(self._identity.incarnation) if view else ():
            if member.vm_id == vm_id:
                self._state.failure_detector.record_failure(
                    member.incarnation, sent_at_s
                )
                if self._state.suspected(member):
                    after_s = self._state.times.suspect_after_s
                    self._network.reset(vm_id, min_age_s=after_s)

    async def _on_reply(
        self, vm_id: str, reply: HeartbeatReply, sent_at_s: float
    ) -> None:
        gone_before = len(self._state.gone.known_at_s)
        hello = self._network.hello_of(vm_id)
        sender = vm_id if hello is None else hello.vm_id
        self._state.receive_reply(sender, reply, sent_at_s=sent_at_s)
        self._process_heartbeat(reply, sender, gone_before)
        if reply.epoch > self._state.epoch:
            try:
                await self._views.request(vm_id)
            except PeerError:
                self._metrics.count("view_requests_lost")
        elif reply.epoch < self._state.epoch:
            self._views.push(vm_id)

    async def _on_heartbeat(
        self, heartbeat: Heartbeat, context: PeerContext
    ) -> HeartbeatReply:
        gone_before = len(self._state.gone.known_at_s)
        sender = context.hello.vm_id
        self._state.receive(heartbeat)
        self._process_heartbeat(heartbeat, sender, gone_before)
        reply = HeartbeatReply(
            ready=self._is_ready(), **self._state.heartbeat(reply=True)
        )
        for contributor in self._contributors:
            contributor.contribute(reply, sender)
        return reply

    def _process_heartbeat(
        self, heartbeat: Heartbeat, vm_id: str, gone_before: int
    ) -> None:
        for contributor in self._contributors:
            contributor.receive(heartbeat, vm_id)
        self.publish_gone(len(self._state.gone.known_at_s) - gone_before, "heartbeat")
        self._confirmation.publish_change()
