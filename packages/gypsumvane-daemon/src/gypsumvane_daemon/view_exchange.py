"""Exchange of membership views between daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gypsumvane_core.messages import ViewRequest
from gypsumvane_core.messages import ViewUpdate
from gypsumvane_core.view import view_from_message
from gypsumvane_core.view import view_to_message
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from gypsumvane_core.membership import MembershipState
    from gypsumvane_core.view import View
    from gypsumvane_daemon.membership_signals import MembershipSignals
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.peer_network import PeerNetwork

logger = logging.getLogger(__name__)

VIEW_REQUEST_TIMEOUT_S = 1.0


class ViewExchange:
    """Adopt newer views and exchange them with peers."""

    def __init__(
        self,
        state: MembershipState,
        *,
        network: PeerNetwork,
        metrics: MetricsService,
        signals: MembershipSignals,
    ) -> None:
        self._state = state
        self._network = network
        self._metrics = metrics
        self._signals = signals
        network.register(ViewUpdate, self._on_update)
        network.register(ViewRequest, self._on_request)

    def adopt(self, view: View) -> None:
        """Adopt a newer view; push it to all peers if this daemon wrote it."""
        was_member = self._state.is_member()
        if not self._state.adopt(view):
            return
        self._metrics.count("view_changes", writer=view.writer)
        logger.info(
            "membership view changed",
            extra={
                "epoch": view.epoch,
                "members": [m.vm_id for m in view.members],
                "former": [m.vm_id for m in view.former],
                "member": self._state.is_member(),
            },
        )
        if was_member and not self._state.is_member():
            self._metrics.count("membership_lost")
        self._signals.release_requested.set()
        self._signals.peers_changed.set()
        self._signals.write_requested.set()
        if view.writer == self._state.own.vm_id:
            for vm_id in self._network.peer_ids():
                self.push(vm_id)
        self._signals.notify_changed()

    def push(self, vm_id: str) -> None:
        """Send the current view to a peer."""
        view = self._state.view
        if view is None:
            return
        try:
            self._network.notify(vm_id, view_to_message(view))
        except PeerError:
            self._metrics.count("view_pushes_lost")

    async def request(self, vm_id: str) -> None:
        """Request the view of a peer and adopt it if newer; raises PeerError."""
        reply = await self._network.request(
            vm_id, ViewRequest(), timeout_s=VIEW_REQUEST_TIMEOUT_S
        )
        if isinstance(reply, ViewUpdate):
            self._adopt_update(reply)

    def _adopt_update(self, update: ViewUpdate) -> None:
        if update.epoch > 0:
            self.adopt(view_from_message(update))

    async def _on_update(self, update: ViewUpdate, _: PeerContext) -> None:
        self._adopt_update(update)

    async def _on_request(self, _: ViewRequest, __: PeerContext) -> ViewUpdate:
        view = self._state.view
        return ViewUpdate() if view is None else view_to_message(view)
