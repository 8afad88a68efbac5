"""Membership of this daemon: view, homes of leaves and authority."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.membership import MembershipState
from gypsumvane_core.membership import MembershipTimes
from gypsumvane_core.view import VIEW_KEY
from gypsumvane_daemon.confirmation_watch import ConfirmationWatch
from gypsumvane_daemon.entry_listing import EntryListing
from gypsumvane_daemon.heartbeat_exchange import HeartbeatExchange
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.leaf_release import LeafRelease
from gypsumvane_daemon.live_list_poller import LiveListPoller
from gypsumvane_daemon.membership_signals import MembershipSignals
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.view_exchange import ViewExchange
from gypsumvane_daemon.view_join import ViewJoin
from gypsumvane_daemon.view_store import ViewStore
from gypsumvane_daemon.view_writer import ViewWriter
from gypsumvane_daemon.view_writer import own_member

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_core.authority_grade import AuthorityGrade
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.entry_addresses import EntryAddresses
    from gypsumvane_core.messages import Member
    from gypsumvane_core.view import View
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.live_list_poller import Listing
    from gypsumvane_daemon.membership_ports import DocumentPort
    from gypsumvane_daemon.membership_ports import HeartbeatContributor
    from gypsumvane_daemon.membership_ports import StorePort


class MembershipService(Service):
    """Run the membership protocol and provide members, homes and authority."""

    name = "membership"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._identity = identity
        self._clock = clock
        self._settings = identity.settings.membership
        self._documents: DocumentPort | None = None
        self._contributors: list[HeartbeatContributor] = []
        self._release_check: Callable[[str], bool] = lambda _: True
        self._ready_check: Callable[[], bool] = lambda: True
        self._tasks: list[asyncio.Task[None]] = []
        self._signals = MembershipSignals()
        self._views: ViewStore
        self._heartbeats: HeartbeatExchange
        self.state = MembershipState(
            own=own_member(identity), clock=clock, times=self._times()
        )
        self.entries = EntryListing(
            identity,
            self.state,
            rng=rng,
            is_ready=lambda: self._ready_check(),
            out_domains=self._out_domains,
        )

    def _times(self) -> MembershipTimes:
        settings = self._settings
        return MembershipTimes(
            validity_s=settings.confirmation_validity_ms / 1000,
            leaf_call_max_s=settings.leaf_call_max_ms / 1000,
            margin_s=settings.takeover_margin_ms / 1000,
            suspect_after_s=settings.suspect_after_ms / 1000,
        )

    async def start(self, kernel: Kernel) -> None:
        """Start exchanging heartbeats and joining the view."""
        state, signals = self.state, self._signals
        metrics = kernel.get(MetricsService)
        network = kernel.get(PeerNetwork)
        store = cast("StorePort", kernel.find("store"))
        self._documents = cast(
            "DocumentPort | None", _find_optional(kernel, "documents")
        )
        views = ViewExchange(state, network=network, metrics=metrics, signals=signals)
        self._views = ViewStore(
            store,
            state,
            metrics=metrics,
            out_domains=self._out_domains,
            on_view=views.adopt,
        )
        store.subscribe(VIEW_KEY, self._on_stored_view)
        store.on_confirmed(self._views.confirm_read)
        confirmation = ConfirmationWatch(
            self._identity, state, store=store, metrics=metrics, signals=signals
        )
        self._heartbeats = HeartbeatExchange(
            self._identity,
            state,
            network=network,
            metrics=metrics,
            signals=signals,
            views=views,
            confirmation=confirmation,
            contributors=self._contributors,
            is_ready=lambda: self._ready_check(),
        )
        release = LeafRelease(
            state,
            signals=signals,
            is_idle=lambda leaf_id: self._release_check(leaf_id),
            on_acknowledged=self._heartbeats.send_now,
        )
        join = ViewJoin(
            state, network=network, metrics=metrics, signals=signals, views=views
        )
        writer = ViewWriter(
            self._identity,
            state,
            store=self._views,
            join=join,
            metrics=metrics,
            signals=signals,
            out_domains=self._out_domains,
        )
        poller = LiveListPoller(
            self._identity.settings.platform,
            clock=self._clock,
            metrics=metrics,
            on_listing=self._on_listing,
        )
        signals.peers_changed.set()
        for part in (self._heartbeats, writer, release, confirmation, poller):
            self._tasks.append(asyncio.create_task(part.run()))

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._heartbeats.close()
        await self._signals.close()

    # Interface of the other services.

    @property
    def view(self) -> View | None:
        """Return the current view, None without one."""
        return self.state.view

    def live_members(self) -> list[Member]:
        """Return the members that are not gone."""
        return self.state.live_members()

    def member(self, vm_id: str) -> Member | None:
        """Return the live member on a VM, None without one."""
        return next((m for m in self.live_members() if m.vm_id == vm_id), None)

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a daemon process is known to have ended.

        A member of another incarnation on the same VM is no proof, because the
        view may be older than the process.
        """
        return incarnation in self.state.gone

    def is_leaving(self, vm_id: str) -> bool:
        """Return whether the member on a VM is leaving."""
        member = self.member(vm_id)
        return member is not None and self.state.is_leaving(member)

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""
        return self.state.home_of(leaf_id)

    def home_of_key(self, key: str) -> str | None:
        """Return the VM that is home of a key."""
        return self.state.home_of_key(key)

    def grade(self, leaf_id: str) -> AuthorityGrade:
        """Return the authority of this daemon over a leaf now."""
        return self.state.grade(leaf_id)

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the share of a leaf's limit that this daemon may use now."""
        return self.state.grade(leaf_id).allowance(limit)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener, called after each change of members or homes."""
        self._signals.on_change(listener)

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Register a service that fills and reads its own fields of heartbeats."""
        self._contributors.append(contributor)

    def heartbeat_now(self) -> None:
        """Send the next heartbeat to each peer without waiting for the interval."""
        self._heartbeats.send_now()

    def set_ready_check(self, check: Callable[[], bool]) -> None:
        """Set the check that tells whether this daemon serves callers."""
        self._ready_check = check

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        """Set the check that tells whether a leaf has no call in progress."""
        self._release_check = check

    def entry_addresses(self, failure_domain: str) -> EntryAddresses:
        """Return the addresses that a caller in a failure domain should use."""
        return self.entries.addresses(failure_domain)

    def can_serve(self) -> bool:
        """Return whether this daemon can start to serve callers."""
        return self.entries.can_serve()

    def can_keep_serving(self) -> bool:
        """Return whether a serving daemon can still reach homes."""
        return self.entries.can_keep_serving()

    def is_member(self) -> bool:
        """Return whether this incarnation is in the view."""
        return self.state.is_member()

    # Leaving.

    def begin_leaving(self) -> None:
        """Announce that this daemon is leaving."""
        if self.state.leaving_since_s is None:
            self.state.leaving_since_s = self._clock.monotonic_s()
            self._signals.write_requested.set()
            self._heartbeats.send_now()
            self._signals.notify_changed()

    def handed_over(self) -> bool:
        """Return whether this daemon has released all leaves and acknowledged it."""
        view = self.state.view
        if view is None or not self.state.is_member():
            return True
        own = view.member(self._identity.vm_id)
        marked = own is not None and own.leaving
        return marked and self.state.acknowledged_epoch == view.epoch

    def has_successor(self) -> bool:
        """Return whether another live member is neither leaving nor suspected."""
        state = self.state
        return any(
            m.vm_id != self._identity.vm_id
            and not state.is_leaving(m)
            and not state.suspected(m)
            for m in self.live_members()
        )

    async def announce_end(self) -> None:
        """Announce to the peers that this process sends nothing to leaves again."""
        self.state.ended = True
        await self._heartbeats.send_final()

    # Events.

    def _out_domains(self) -> frozenset[str]:
        documents = self._documents
        return frozenset() if documents is None else documents.catalogue.domains_out()

    def _on_stored_view(self, key: str, value: bytes | None, version: int) -> None:
        if key == VIEW_KEY:
            self._views.apply_stored(value, version)

    def _on_listing(self, listing: Listing, sent_at_s: float) -> None:
        vm_ids = [vm.vm_id for vm in listing.vms]
        gone = self.state.apply_listing(listing.listing, vm_ids, sent_at_s=sent_at_s)
        self._heartbeats.publish_gone(len(gone), "live_list")


def _find_optional(kernel: Kernel, name: str) -> Service | None:
    try:
        return kernel.find(name)
    except LookupError:
        return None
