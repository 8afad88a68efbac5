"""Fleet of daemons that run bookings against fakes with fault injection."""

from __future__ import annotations

import asyncio
import itertools
import json
import selectors
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from daemon_settings import daemon_settings
from fake_service import FakeService
from fake_service import kernel_of
from gypsumvane_core.clock import Clock
from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.index_routes import MoveChoice
from gypsumvane_core.messages import BookingReply
from gypsumvane_core.messages import BookingRequest
from gypsumvane_core.messages import Document
from gypsumvane_core.messages import Hello
from gypsumvane_core.messages import LeafRunReply
from gypsumvane_core.messages import LeafRunRequest
from gypsumvane_core.messages import Member
from gypsumvane_daemon.booking_service import BookingService
from gypsumvane_daemon.claim_ledger import ClaimTimings
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerContext
from gypsumvane_daemon.peer_network import PeerError
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.reserved_checkpoints import CheckpointTimings
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import PutResult
from gypsumvane_daemon.store_objects import StoredObject
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written
from waiting import wait_until

if TYPE_CHECKING:
    from gypsumvane_core.outcome import Outcome
    from gypsumvane_daemon.kernel import Kernel

LEAVES = ("leaf-a", "leaf-b")


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    now_s = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError(
                "the event loop would wait forever: no timer is scheduled"
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop in virtual time, whose timers fire without waiting."""
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s  # type: ignore[method-assign]
    asyncio.set_event_loop(loop)
    return loop


class LoopClock(Clock):
    """Clock that follows the current event loop."""

    def monotonic_s(self) -> float:
        return asyncio.get_event_loop().time()

    def unix_s(self) -> float:
        return 1.7e9 + self.monotonic_s()


@dataclass
class FakeEnvironment:
    """State shared by the daemons: store, leaves, view and faults."""

    objects: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    versions: Any = field(default_factory=lambda: itertools.count(1))
    runs: Counter[str] = field(default_factory=Counter)
    bodies: dict[str, bytes] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    homes: dict[str, str] = field(default_factory=dict)
    # Incarnations of killed daemons.
    ended: set[str] = field(default_factory=set)
    # Faults to inject into the next calls, by operation: put, get, leaf, peer.
    faults: dict[str, list[str]] = field(default_factory=dict)
    # VMs whose store calls fail.
    cut_off: set[str] = field(default_factory=set)
    paused: dict[str, asyncio.Event] = field(default_factory=dict)
    puts: int = 0
    delays: Any = field(default_factory=lambda: itertools.repeat(0.001))

    def fault(self, operation: str) -> str:
        """Remove and return the next fault of an operation, empty if none."""
        queue = self.faults.get(operation)
        return queue.pop(0) if queue else ""

    async def delay(self, vm_id: str) -> None:
        """Wait for the next delay; a paused daemon waits until it is resumed."""
        await asyncio.sleep(next(self.delays))
        if vm_id in self.paused:
            await self.paused[vm_id].wait()


class EnvironmentService(FakeService):
    """Base of fake services that belong to one VM of the environment."""

    def __init__(self, environment: FakeEnvironment, vm_id: str) -> None:
        self.environment = environment
        self.vm_id = vm_id


class FakeStore(EnvironmentService):
    """Store versioned objects and inject faults such as lost answers."""

    name = "store"

    async def get(self, key: str) -> StoredObject | None:
        await self.environment.delay(self.vm_id)
        self._check(self.environment.fault("get") == "down", may_have_applied=False)
        found = self.environment.objects.get(key)
        await self.environment.delay(self.vm_id)
        return None if found is None else StoredObject(key, *found)

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        await self.environment.delay(self.vm_id)
        fault = self.environment.fault("put")
        self._check(fault == "down", may_have_applied=False)
        self._check(fault == "lost_before", may_have_applied=True)
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(1.2, self._apply, key, value, expected_version)
            raise StoreError("fault", may_have_applied=True)
        version = self._apply(key, value, expected_version)
        await self.environment.delay(self.vm_id)
        self._check(fault == "lost_after", may_have_applied=True)
        return Conflict() if version is None else Written(version)

    def _apply(self, key: str, value: bytes, expected: int | None) -> int | None:
        known = self.environment.objects.get(key)
        if (known[1] if known else None) != expected:
            return None
        assert len(value) <= 1_000_000
        version: int = next(self.environment.versions)
        self.environment.objects[key] = (value, version)
        self.environment.puts += 1
        return version

    def _check(self, failed: bool, *, may_have_applied: bool) -> None:
        if failed or self.vm_id in self.environment.cut_off:
            raise StoreError("fault", may_have_applied=may_have_applied)


class FakeMembership(EnvironmentService):
    """Return homes from the shared view, or from an override for a stale view."""

    name = "membership"
    own_homes: dict[str, str] | None = None

    def live_members(self) -> list[Member]:
        return list(self.environment.members.values())

    def member(self, vm_id: str) -> Member | None:
        return self.environment.members.get(vm_id)

    def is_gone(self, incarnation: str) -> bool:
        return incarnation in self.environment.ended

    def home_of(self, leaf_id: str) -> str | None:
        return self.home_of_key(leaf_id)

    def home_of_key(self, key: str) -> str | None:
        homes = self.environment.homes if self.own_homes is None else self.own_homes
        return homes.get(key, homes.get("*"))

    def add_contributor(self, contributor: Any) -> None:
        """Ignore the contributor."""

    def on_change(self, listener: Any) -> None:
        """Ignore the listener."""

    def heartbeat_now(self) -> None:
        """Send no heartbeat."""


class FakeUpstreams(EnvironmentService):
    """Count runs per key and answer according to the injected faults."""

    name = "upstreams"

    def __init__(self, environment: FakeEnvironment, vm_id: str) -> None:
        super().__init__(environment, vm_id)
        self.briefs: dict[str, Any] = {}

    async def start(self, kernel: Kernel) -> None:
        kernel.get(PeerNetwork).register(LeafRunRequest, self._serve)

    async def _serve(self, request: LeafRunRequest, _: PeerContext) -> LeafRunReply:
        return await self.run_once(request)

    async def run_once(self, request: LeafRunRequest) -> LeafRunReply:
        await self.environment.delay(self.vm_id)
        fault = self.environment.fault("leaf")
        if fault == "not_run":
            return LeafRunReply("refused", "not_run", "upstream_shed")
        self.environment.runs[request.key] += 1
        body = f"run {self.environment.runs[request.key]} of {request.key}".encode()
        self.environment.bodies[request.key] = body
        await self.environment.delay(self.vm_id)
        if fault == "lost":
            return LeafRunReply("failed", "may_have_run", "connection_lost")
        return LeafRunReply("completed", "ran", status=200, body=body)


class FakePeers(PeerNetwork):
    """Call the message handlers of other daemons in the same process."""

    def __init__(self, identity: DaemonIdentity, fleet: Fleet) -> None:
        super().__init__(identity)
        self.fleet = fleet

    async def start(self, kernel: Kernel) -> None:
        self.metrics = kernel.get(MetricsService)

    async def request(self, vm_id: str, message: Any, *, timeout_s: float) -> Any:
        environment, own = self.fleet.environment, self.identity.vm_id
        await environment.delay(own)
        fault = environment.fault("peer")
        target = self.fleet.daemons.get(vm_id)
        if fault == "unsent" or target is None:
            raise PeerError("fault", sent=False)
        handler = target.peers._handlers[type(message)]
        context = PeerContext(Hello(own), None, 0)  # type: ignore[arg-type]

        async def deliver() -> Any:
            # A paused daemon handles the request when it resumes.
            await environment.delay(vm_id)
            return await handler(message, context)

        task: Any = asyncio.ensure_future(deliver())
        try:
            async with asyncio.timeout(timeout_s):
                reply = await asyncio.shield(task)
        except TimeoutError as error:
            raise PeerError("no reply", sent=True) from error
        except asyncio.CancelledError as error:
            if not task.cancelled():
                raise
            raise PeerError("the peer was killed", sent=True) from error
        if fault == "lost" or self.fleet.daemons.get(vm_id) is not target:
            raise PeerError("fault", sent=True)
        if isinstance(message, LeafRunRequest):
            assert isinstance(reply, BookingReply)
        return reply


class FakeMoves(EnvironmentService):
    """Report that no version move is in progress."""

    name = "moves"

    def choose_version(self, *_: Any) -> MoveChoice:
        """Allow all versions."""
        return MoveChoice()

    def record(self, *_: Any, **__: Any) -> None:
        """Ignore the evidence."""


class FakeDocuments(EnvironmentService):
    """Hold one index with two leaves."""

    name = "documents"

    def __init__(self, environment: FakeEnvironment, vm_id: str) -> None:
        super().__init__(environment, vm_id)
        leaves = [
            {
                "leaf_id": leaf,
                "service": "s",
                "failure_domain": "a",
                "address": "127.0.0.1:1",
            }
            for leaf in LEAVES
        ]
        body = {"name": "ledger", "kind": "lookup", "non_idempotent": True}
        body |= {"leaves": leaves, "partition_maps": {"1": ["s"]}}
        self.catalogue = DocumentCatalogue()
        raw = json.dumps(body).encode()
        self.catalogue.apply(Document("index/ledger", 1, "c", "o", "test", 0, raw))

    def on_change(self, listener: Any) -> None:
        """Ignore the listener."""


class Daemon:
    """Run one booking service with its fakes."""

    def __init__(self, fleet: Fleet, vm_id: str, incarnation: str) -> None:
        self.identity = DaemonIdentity(daemon_settings(vm_id), incarnation)
        environment = fleet.environment
        self.peers = fleet.make_peers(self.identity)
        self.membership = FakeMembership(environment, vm_id)
        self.bookings = BookingService(
            self.identity,
            clock=LoopClock(),
            claim_timings=fleet.claim_timings,
            checkpoint_timings=fleet.checkpoint_timings,
        )
        self.kernel = kernel_of(
            MetricsService(),
            self.peers,
            FakeStore(environment, vm_id),
            FakeDocuments(environment, vm_id),
            self.membership,
            FakeUpstreams(environment, vm_id),
            FakeMoves(environment, vm_id),
            self.bookings,
        )


class Fleet:
    """Start, kill and restart daemons."""

    def __init__(self, *, real_peers: bool = False) -> None:
        self.environment = FakeEnvironment()
        self.daemons: dict[str, Daemon] = {}
        self.real_peers = real_peers
        self.claim_timings = ClaimTimings()
        self.checkpoint_timings = CheckpointTimings()
        self._starts = itertools.count(1)

    def make_peers(self, identity: DaemonIdentity) -> PeerNetwork:
        """Return the peer network of a daemon."""
        if self.real_peers:
            return PeerNetwork(identity)
        return FakePeers(identity, self)

    async def start(self, *vm_ids: str) -> None:
        """Start daemons; the first of the fleet is the home of all keys and leaves."""
        for vm_id in vm_ids:
            incarnation = f"i{next(self._starts)}"
            daemon = Daemon(self, vm_id, incarnation)
            await daemon.kernel.start()
            self.daemons[vm_id] = daemon
            self.environment.members[vm_id] = Member(vm_id, incarnation)
            self.environment.homes.setdefault("*", vm_id)
        if self.real_peers:
            addresses = {v: d.identity.peer_address for v, d in self.daemons.items()}
            for daemon in self.daemons.values():
                await daemon.peers.set_peers(addresses)
                for peer in daemon.peers.peer_ids():
                    await wait_until(partial(daemon.peers.hello_of, peer))

    async def kill(self, vm_id: str) -> None:
        """End a daemon without its final writes."""
        daemon = self.daemons.pop(vm_id)
        self.environment.ended.add(daemon.identity.incarnation)
        cut_off = vm_id in self.environment.cut_off
        self.environment.cut_off.add(vm_id)
        for task in daemon.bookings._running:
            task.cancel()
        await daemon.kernel.stop()
        if not cut_off:
            self.environment.cut_off.discard(vm_id)

    def resume(self) -> None:
        """Resume all paused daemons."""
        for event in self.environment.paused.values():
            event.set()
        self.environment.paused.clear()

    async def stop(self) -> None:
        """Stop all daemons."""
        self.resume()
        for daemon in self.daemons.values():
            await daemon.kernel.stop()

    async def book(
        self,
        vm_id: str,
        key: str,
        *,
        body: bytes = b"{}",
        left_ms: int = 1000,
        service: str = "",
    ) -> Outcome:
        """Send one booking to a daemon."""
        request = BookingRequest(
            key=key,
            index="ledger",
            route="run",
            service=service,
            body=body,
            deadline_left_ms=left_ms,
        )
        return await self.daemons[vm_id].bookings.run(request)
