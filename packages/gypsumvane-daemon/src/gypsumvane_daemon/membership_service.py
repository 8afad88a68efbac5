"""The daemon's place among the members: view, homes and authority."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from gypsumvane_core.assignment import rank
from gypsumvane_core.entry_addresses import EntryAddresses
from gypsumvane_core.entry_addresses import order_entry_addresses
from gypsumvane_core.membership import MembershipState
from gypsumvane_core.membership import MembershipTimes
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply
from gypsumvane_core.messages import JoinReply
from gypsumvane_core.messages import JoinRequest
from gypsumvane_core.messages import Member
from gypsumvane_core.messages import ViewRequest
from gypsumvane_core.messages import ViewUpdate
from gypsumvane_core.view import VIEW_KEY
from gypsumvane_core.view import view_from_message
from gypsumvane_core.view import view_to_message
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.live_list_poller import LiveListPoller
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerError
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.view_store import ViewStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.grade import Grade
    from gypsumvane_core.view import View
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.live_list_poller import Listing
    from gypsumvane_daemon.membership_ports import DocumentPort
    from gypsumvane_daemon.membership_ports import HeartbeatContributor
    from gypsumvane_daemon.membership_ports import StorePort
    from gypsumvane_daemon.peer_network import PeerContext

logger = logging.getLogger(__name__)

JOIN_TIMEOUT_S = 5.0
VIEW_REQUEST_TIMEOUT_S = 1.0
RELEASE_POLL_S = 0.02
# Bounds the last round of heartbeats.
FAREWELL_TIMEOUT_S = 1.0


class MembershipService(Service):
    """Exchange heartbeats, keep the view and answer who is home."""

    name = "membership"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._settings = identity.settings.membership
        self._metrics: MetricsService
        self._network: PeerNetwork
        self._documents: DocumentPort | None = None
        self._store: StorePort
        self._views: ViewStore
        self._listeners: list[Callable[[], None]] = []
        self._contributors: list[HeartbeatContributor] = []
        self._release_check: Callable[[str], bool] = lambda _: True
        self._ready_check: Callable[[], bool] = lambda: True
        self._tasks: list[asyncio.Task[None]] = []
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._kicks: dict[str, asyncio.Event] = {}
        self._peers_changed = asyncio.Event()
        self._wake_writer = asyncio.Event()
        self._release = asyncio.Event()
        self._view_changed = asyncio.Condition()
        self._confirmed = False
        # Whether callers may still be sent to this daemon while it is leaving.
        self.listed_while_leaving = True
        # When a caller was last sent to this daemon while it was leaving.
        self.last_listed_s = float("-inf")
        self.state = MembershipState(
            own=self._own_member(), clock=clock, times=self._times()
        )

    def _times(self) -> MembershipTimes:
        settings = self._settings
        return MembershipTimes(
            validity_s=settings.confirmation_validity_ms / 1000,
            leaf_call_max_s=settings.leaf_call_max_ms / 1000,
            margin_s=settings.takeover_margin_ms / 1000,
            suspect_after_s=settings.suspect_after_ms / 1000,
        )

    def _own_member(self) -> Member:
        identity = self._identity
        return Member(
            vm_id=identity.vm_id,
            incarnation=identity.incarnation,
            failure_domain=identity.failure_domain,
            peer_address=identity.peer_address,
            caller_address=identity.caller_address,
            operator_address=identity.operator_address,
        )

    @property
    def _interval_s(self) -> float:
        return self._settings.heartbeat_interval_ms / 1000

    async def start(self, kernel: Kernel) -> None:
        """Begin to exchange heartbeats and to join."""
        self._metrics = kernel.get(MetricsService)
        self._network = kernel.get(PeerNetwork)
        self._store = cast("StorePort", kernel.find("store"))
        self._documents = cast("DocumentPort | None", _optional(kernel, "documents"))
        self._views = ViewStore(
            self._store,
            self.state,
            metrics=self._metrics,
            out_domains=self._out_domains,
            on_view=self._take_view,
        )
        self._network.register(Heartbeat, self._on_heartbeat)
        self._network.register(ViewUpdate, self._on_view_update)
        self._network.register(ViewRequest, self._on_view_request)
        self._network.register(JoinRequest, self._on_join_request)
        self._store.subscribe(VIEW_KEY, self._on_stored_view)
        self._store.on_confirmed(self._views.confirm)
        poller = LiveListPoller(
            self._identity.settings.platform,
            clock=self._clock,
            metrics=self._metrics,
            on_listing=self._on_listing,
        )
        self._peers_changed.set()
        for loop in (
            self._peers_loop(),
            self._view_loop(),
            self._release_loop(),
            self._watch_state_loop(),
            poller.run(),
        ):
            self._tasks.append(asyncio.create_task(loop))

    async def stop(self) -> None:
        """End all tasks."""
        tasks = [*self._tasks, *self._peer_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._peer_tasks.clear()

    # Questions of other services.

    @property
    def view(self) -> View | None:
        """Return the known view."""
        return self.state.view

    def live_members(self) -> list[Member]:
        """Return the members that are not gone."""
        return self.state.live_members()

    def member(self, vm_id: str) -> Member | None:
        """Return the live member on a VM."""
        return next((m for m in self.live_members() if m.vm_id == vm_id), None)

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a process is known to have ended for good.

        A member with another incarnation on the same VM does not show this:
        the view may be older than the process.
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

    def grade(self, leaf_id: str) -> Grade:
        """Return the authority of this daemon over a leaf now."""
        return self.state.grade(leaf_id)

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the part of a limit that this daemon may use now."""
        return self.state.grade(leaf_id).allowance(limit)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of members or homes."""
        self._listeners.append(listener)

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Let another service fill and read its fields of heartbeats."""
        self._contributors.append(contributor)

    def set_ready_check(self, check: Callable[[], bool]) -> None:
        """Ask the check whether this daemon serves callers."""
        self._ready_check = check

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        """Ask the check whether no call to a leaf is in progress."""
        self._release_check = check

    def entry_addresses(self, failure_domain: str) -> EntryAddresses:
        """Return where a caller should connect."""
        state = self.state
        members = [m for m in self.live_members() if self._serves_callers(m)]
        if not members and self.can_serve() and self.listed_while_leaving:
            # The caller reached this daemon and no other one stays.
            members = [replace(state.own, leaving=False)]
            self.last_listed_s = self._clock.monotonic_s()
        return order_entry_addresses(
            members,
            failure_domain=failure_domain,
            out_domains=self._out_domains(),
            spread=str(self._rng.random()),
            keep_s=self._identity.settings.entry.keep_ms / 1000,
        )

    def _serves_callers(self, member: Member) -> bool:
        state = self.state
        if state.is_leaving(member) or state.suspected(member):
            return False
        if member.incarnation == self._identity.incarnation:
            return self._ready_check()
        # A member that has just joined may not serve yet.
        return member.incarnation in state.ready

    def can_serve(self) -> bool:
        """Return whether requests can be sent to homes.

        While the store is down a new daemon cannot join, but the homes answer
        its requests.
        """
        if self.state.is_member():
            return True
        return self.can_keep_serving() and not self.state.store_confirmed()

    def can_keep_serving(self) -> bool:
        """Return whether a daemon that serves can still reach homes.

        A daemon that was removed from the view while it was paused goes on
        answering through the homes until it has joined again.
        """
        if self.state.is_member():
            return True
        return any(not self.state.suspected(m) for m in self.live_members())

    def is_member(self) -> bool:
        """Return whether this process is in the view."""
        return self.state.is_member()

    # Leaving.

    def begin_leaving(self) -> None:
        """Announce that this daemon is leaving."""
        if self.state.leaving_since_s is None:
            self.state.leaving_since_s = self._clock.monotonic_s()
            self._wake_writer.set()
            self._kick_all()
            self._changed()

    def handed_over(self) -> bool:
        """Return whether this daemon is home of nothing and said so."""
        view = self.state.view
        if view is None or not self.state.is_member():
            return True
        own = view.member(self._identity.vm_id)
        marked = own is not None and own.leaving
        return marked and self.state.acknowledged_epoch == view.epoch

    def has_successor(self) -> bool:
        """Return whether another live member stays."""
        state = self.state
        return any(
            m.vm_id != self._identity.vm_id
            and not state.is_leaving(m)
            and not state.suspected(m)
            for m in self.live_members()
        )

    async def announce_end(self) -> None:
        """Tell the peers that this process never sends to a leaf again."""
        self.state.ended = True
        rounds = [self._heartbeat(vm_id) for vm_id in self._network.peer_ids()]
        async with asyncio.timeout(FAREWELL_TIMEOUT_S):
            await asyncio.gather(*rounds, return_exceptions=True)

    # Views.

    def _take_view(self, view: View) -> None:
        was_member = self.state.is_member()
        if not self.state.adopt(view):
            return
        self._metrics.count("view_changes", writer=view.writer)
        logger.info(
            "view changed",
            extra={
                "epoch": view.epoch,
                "members": [m.vm_id for m in view.members],
                "former": [m.vm_id for m in view.former],
                "member": self.state.is_member(),
            },
        )
        if was_member and not self.state.is_member():
            self._metrics.count("membership_lost")
        self._release.set()
        self._peers_changed.set()
        self._wake_writer.set()
        if view.writer == self._identity.vm_id:
            self._push_view(view)
        self._changed()

    def _push_view(self, view: View) -> None:
        update = view_to_message(view)
        for vm_id in self._network.peer_ids():
            self._notify(vm_id, update)

    def _notify(self, vm_id: str, message: ViewUpdate) -> None:
        try:
            self._network.notify(vm_id, message)
        except PeerError:
            self._metrics.count("view_pushes_lost")

    def _on_stored_view(self, key: str, value: bytes | None, version: int) -> None:
        if key == VIEW_KEY:
            self._views.take(value, version)

    async def _on_view_update(self, update: ViewUpdate, _: PeerContext) -> None:
        if update.epoch > 0:
            self._take_view(view_from_message(update))

    async def _on_view_request(self, _: ViewRequest, __: PeerContext) -> ViewUpdate:
        view = self.state.view
        return ViewUpdate() if view is None else view_to_message(view)

    async def _request_view(self, vm_id: str) -> None:
        reply = await self._network.request(
            vm_id, ViewRequest(), timeout_s=VIEW_REQUEST_TIMEOUT_S
        )
        if isinstance(reply, ViewUpdate):
            await self._on_view_update(reply, cast("PeerContext", None))

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()
        self._spawn(self._announce_view())

    async def _announce_view(self) -> None:
        async with self._view_changed:
            self._view_changed.notify_all()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(work))

    # Writing views and joining.

    def _out_domains(self) -> frozenset[str]:
        documents = self._documents
        return frozenset() if documents is None else documents.catalogue.domains_out()

    async def _view_loop(self) -> None:
        if not self._identity.caller_address:
            # The other listeners bind their ports right after this service.
            await asyncio.sleep(self._interval_s)
        while True:
            try:
                await self._view_step()
            except StoreError:
                self._metrics.count("view_failures", reason="store")
            self._wake_writer.clear()
            try:
                async with asyncio.timeout(self._interval_s):
                    await self._wake_writer.wait()
            except TimeoutError:
                pass

    async def _view_step(self) -> None:
        self.state.own = self._own_member()
        if not self.state.is_member():
            if self.state.leaving_since_s is None:
                await self._join()
            return
        if self.state.promises.unresolved_version is not None:
            await self._views.resolve()
        wanted = self.state.next_view(self._out_domains()) is not None
        # During an outage a try to write would only withhold the promise.
        if wanted and self.state.store_confirmed():
            await self._views.write_change()

    async def _join(self) -> None:
        for vm_id in self._sponsors():
            try:
                if await self._ask_sponsor(vm_id):
                    return
            except PeerError:
                # A paused sponsor must not keep this daemon from the others.
                self._metrics.count("join_failures", reason="peer")
        await self._views.create()

    def _sponsors(self) -> list[str]:
        connected = [
            vm for vm in self._network.peer_ids() if self._network.hello_of(vm)
        ]
        members = [m.vm_id for m in self.live_members()]
        return sorted(connected, key=lambda vm: vm not in members)

    async def _ask_sponsor(self, vm_id: str) -> bool:
        await self._request_view(vm_id)
        if self.state.is_member():
            return True
        request = JoinRequest(member=self.state.own)
        reply = await self._network.request(vm_id, request, timeout_s=JOIN_TIMEOUT_S)
        if not isinstance(reply, JoinReply) or not reply.accepted:
            return False
        await self._request_view(vm_id)
        return self.state.is_member()

    async def _on_join_request(self, request: JoinRequest, _: PeerContext) -> JoinReply:
        if not self.state.is_member():
            return JoinReply(reason="not_a_member", epoch=self.state.epoch)
        member = request.member
        view = self.state.view
        if view is not None and not view.has(member.incarnation):
            self.state.joins[member.vm_id] = member
            self._wake_writer.set()
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S), self._view_changed:
                await self._view_changed.wait_for(lambda: self._has(member.incarnation))
        except TimeoutError:
            self._metrics.count("joins_refused", reason="timeout")
            return JoinReply(reason="timeout", epoch=self.state.epoch)
        return JoinReply(accepted=True, epoch=self.state.epoch)

    def _has(self, incarnation: str) -> bool:
        return self.state.view is not None and self.state.view.has(incarnation)

    # Heartbeats.

    async def _peers_loop(self) -> None:
        while True:
            await self._peers_changed.wait()
            self._peers_changed.clear()
            addresses = self._peer_addresses()
            await self._network.set_peers(addresses)
            for vm_id in set(self._peer_tasks) - set(addresses):
                self._peer_tasks.pop(vm_id).cancel()
                self._kicks.pop(vm_id, None)
            for vm_id in set(addresses) - set(self._peer_tasks):
                self._kicks[vm_id] = asyncio.Event()
                self._peer_tasks[vm_id] = asyncio.create_task(
                    self._heartbeat_loop(vm_id), name=f"heartbeat-{vm_id}"
                )

    def _peer_addresses(self) -> dict[str, str]:
        view = self.state.view
        others: Iterable[Member] = []
        if view is not None:
            others = view.others(self._identity.incarnation)
        known = {
            m.vm_id: m.peer_address
            for m in others
            if m.vm_id != self._identity.vm_id and m.peer_address
        }
        if self.state.is_member():
            return known
        seeds = {
            f"seed:{address}": address
            for address in self._settings.seed_addresses
            if address not in known.values() and address != self._identity.peer_address
        }
        return known | seeds

    async def _heartbeat_loop(self, vm_id: str) -> None:
        kick = self._kicks[vm_id]
        while True:
            kick.clear()
            await self._heartbeat(vm_id)
            try:
                async with asyncio.timeout(self._interval_s):
                    await kick.wait()
            except TimeoutError:
                pass

    async def _heartbeat(self, vm_id: str) -> None:
        sent_at_s = self._clock.monotonic_s()
        heartbeat = Heartbeat(
            ready=self._ready_check(), **self.state.heartbeat(reply=False)
        )
        for contributor in self._contributors:
            contributor.contribute(heartbeat, vm_id)
        try:
            reply = await self._network.request(
                vm_id, heartbeat, timeout_s=2 * self._interval_s
            )
        except PeerError:
            self._note_silence(vm_id, sent_at_s)
            return
        if isinstance(reply, HeartbeatReply):
            await self._take_reply(vm_id, reply, sent_at_s)

    def _note_silence(self, vm_id: str, sent_at_s: float) -> None:
        self._metrics.count("heartbeats_unanswered")
        view = self.state.view
        for member in view.others(self._identity.incarnation) if view else ():
            if member.vm_id == vm_id:
                self.state.suspicion.note_failure(member.incarnation, sent_at_s)
                if self.state.suspected(member):
                    self._network.reset(vm_id)

    async def _take_reply(
        self, vm_id: str, reply: HeartbeatReply, sent_at_s: float
    ) -> None:
        known_gone = len(self.state.gone.known_at_s)
        hello = self._network.hello_of(vm_id)
        sender = vm_id if hello is None else hello.vm_id
        self.state.receive_reply(sender, reply, sent_at_s=sent_at_s)
        self._after_heartbeat(reply, sender, known_gone)
        if reply.epoch > self.state.epoch:
            try:
                await self._request_view(vm_id)
            except PeerError:
                self._metrics.count("view_requests_lost")
        elif reply.epoch < self.state.epoch and self.state.view is not None:
            self._notify(vm_id, view_to_message(self.state.view))

    async def _on_heartbeat(
        self, heartbeat: Heartbeat, context: PeerContext
    ) -> HeartbeatReply:
        known_gone = len(self.state.gone.known_at_s)
        sender = context.hello.vm_id
        self.state.receive(heartbeat)
        self._after_heartbeat(heartbeat, sender, known_gone)
        reply = HeartbeatReply(
            ready=self._ready_check(), **self.state.heartbeat(reply=True)
        )
        for contributor in self._contributors:
            contributor.contribute(reply, sender)
        return reply

    def _after_heartbeat(
        self, heartbeat: Heartbeat, vm_id: str, known_gone: int
    ) -> None:
        for contributor in self._contributors:
            contributor.receive(heartbeat, vm_id)
        self._note_gone(len(self.state.gone.known_at_s) - known_gone, "heartbeat")
        self._note_confirmation()

    def _on_listing(self, listing: Listing, sent_at_s: float) -> None:
        vm_ids = [vm.vm_id for vm in listing.vms]
        gone = self.state.take_listing(listing.listing, vm_ids, sent_at_s=sent_at_s)
        self._note_gone(len(gone), "live_list")

    def _note_gone(self, count: int, source: str) -> None:
        if count:
            self._metrics.count("gone_incarnations", count, source=source)
            logger.info("incarnations are gone", extra={"count": count})
            self._wake_writer.set()
            self._kick_all()
            self._changed()

    def _kick_all(self) -> None:
        for kick in self._kicks.values():
            kick.set()

    # Release of leaves, store watchers and state changes.

    async def _release_loop(self) -> None:
        while True:
            await self._release.wait()
            self._release.clear()
            while self.state.view is not None:
                leaves = self.state.leaves_to_release()
                idle = [leaf for leaf in leaves if self._release_check(leaf)]
                advanced = self.state.acknowledge(idle)
                if advanced:
                    self._kick_all()
                if self.state.acknowledged_epoch == self.state.epoch:
                    break
                await asyncio.sleep(RELEASE_POLL_S)

    async def _watch_state_loop(self) -> None:
        while True:
            self._store.set_watching(self._should_watch())
            if self.state.take_home_change():
                self._changed()
            self._note_confirmation()
            await asyncio.sleep(self._interval_s / 2)

    def _should_watch(self) -> bool:
        own = self._identity
        domain = [
            m.vm_id
            for m in self.live_members()
            if m.failure_domain == own.failure_domain and not self.state.suspected(m)
        ]
        watchers = own.settings.platform.store_watchers_per_domain
        return own.vm_id in rank("store-watchers", domain)[:watchers]

    def _note_confirmation(self) -> None:
        confirmed = self.state.confirmed()
        if confirmed != self._confirmed:
            self._confirmed = confirmed
            self._metrics.count("confirmation_changes", confirmed=str(confirmed))
            logger.info("confirmation changed", extra={"confirmed": confirmed})
            self._changed()


def _optional(kernel: Kernel, name: str) -> Service | None:
    try:
        return kernel.find(name)
    except LookupError:
        return None
