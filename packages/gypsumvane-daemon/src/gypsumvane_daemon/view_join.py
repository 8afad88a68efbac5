"""Joining the view through a sponsor, a member that adds the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.messages import JoinReply
from gypsumvane_core.messages import JoinRequest
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from gypsumvane_core.membership import MembershipState
    from gypsumvane_daemon.membership_signals import MembershipSignals
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.peer_network import PeerNetwork
    from gypsumvane_daemon.view_exchange import ViewExchange

JOIN_TIMEOUT_S = 5.0


class ViewJoin:
    """Request to be added to the view and add other daemons on request."""

    def __init__(
        self,
        state: MembershipState,
        *,
        network: PeerNetwork,
        metrics: MetricsService,
        signals: MembershipSignals,
        views: ViewExchange,
    ) -> None:
        self._state = state
        self._network = network
        self._metrics = metrics
        self._signals = signals
        self._views = views
        network.register(JoinRequest, self._on_request)

    async def join(self) -> bool:
        """Try the sponsors in turn; return whether this daemon is in the view."""
        for vm_id in self._sponsors():
            try:
                if await self._join_through(vm_id):
                    return True
            except PeerError:
                # A sponsor that does not answer must not block the other ones.
                self._metrics.count("join_failures", reason="peer")
        return False

    def _sponsors(self) -> list[str]:
        connected = [
            vm for vm in self._network.peer_ids() if self._network.hello_of(vm)
        ]
        members = [m.vm_id for m in self._state.live_members()]
        return sorted(connected, key=lambda vm: vm not in members)

    async def _join_through(self, vm_id: str) -> bool:
        await self._views.request(vm_id)
        if self._state.is_member():
            return True
        request = JoinRequest(member=self._state.own)
        reply = await self._network.request(vm_id, request, timeout_s=JOIN_TIMEOUT_S)
        if not isinstance(reply, JoinReply) or not reply.accepted:
            return False
        await self._views.request(vm_id)
        return self._state.is_member()

    async def _on_request(self, request: JoinRequest, _: PeerContext) -> JoinReply:
        state = self._state
        if not state.is_member():
            return JoinReply(reason="not_a_member", epoch=state.epoch)
        member = request.member
        if not self._is_in_view(member.incarnation):
            state.joins[member.vm_id] = member
            self._signals.write_requested.set()
        try:
            await self._signals.wait_until(
                lambda: self._is_in_view(member.incarnation), timeout_s=JOIN_TIMEOUT_S
            )
        except TimeoutError:
            self._metrics.count("joins_refused", reason="timeout")
            return JoinReply(reason="timeout", epoch=state.epoch)
        return JoinReply(accepted=True, epoch=state.epoch)

    def _is_in_view(self, incarnation: str) -> bool:
        view = self._state.view
        return view is not None and view.has(incarnation)
