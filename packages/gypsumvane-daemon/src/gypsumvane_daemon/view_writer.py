"""Loop that joins the view and writes changes of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gypsumvane_core.messages import Member
from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.membership import MembershipState
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.membership_signals import MembershipSignals
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.view_join import ViewJoin
    from gypsumvane_daemon.view_store import ViewStore


def own_member(identity: DaemonIdentity) -> Member:
    """Return the member entry of this daemon."""
    return Member(
        vm_id=identity.vm_id,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        peer_address=identity.peer_address,
        caller_address=identity.caller_address,
        operator_address=identity.operator_address,
    )


class ViewWriter:
    """Keep this daemon in the view and write pending changes of the view."""

    def __init__(
        self,
        identity: DaemonIdentity,
        state: MembershipState,
        *,
        store: ViewStore,
        join: ViewJoin,
        metrics: MetricsService,
        signals: MembershipSignals,
        out_domains: Callable[[], frozenset[str]],
    ) -> None:
        self._identity = identity
        self._interval_s = identity.settings.membership.heartbeat_interval_ms / 1000
        self._state = state
        self._store = store
        self._join = join
        self._metrics = metrics
        self._signals = signals
        self._out_domains = out_domains

    async def run(self) -> None:
        """Check the view per heartbeat interval and after each write request."""
        if not self._identity.caller_address:
            # The other listeners bind their ports after this service has started.
            await asyncio.sleep(self._interval_s)
        while True:
            try:
                await self._step()
            except StoreError:
                self._metrics.count("view_failures", reason="store")
            self._signals.write_requested.clear()
            await wait_for_event(
                self._signals.write_requested, timeout_s=self._interval_s
            )

    async def _step(self) -> None:
        state = self._state
        state.own = own_member(self._identity)
        if not state.is_member():
            if state.leaving_since_s is None and not await self._join.join():
                await self._store.create_view()
            return
        if state.promises.unresolved_version is not None:
            await self._store.resolve_lost_write()
        change_pending = state.next_view(self._out_domains()) is not None
        # During a store outage an attempt would only withhold promises to peers.
        if change_pending and state.store_confirmed():
            await self._store.write_change()
