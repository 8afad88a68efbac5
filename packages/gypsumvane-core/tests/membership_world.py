"""Simulated cluster for the membership tests: daemons, store, network and time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.membership import MembershipState
from gypsumvane_core.membership import MembershipTimes
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import Member

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_core.view import View

TIMES = MembershipTimes(gone_grace_s=6.0)
LIMITS = {"stock-a": 1, "stock-b": 2, "ledger": 3, "portal": 5}
DOMAINS = ("fd-a", "fd-b")
TICK_S = 0.1
ROUND_S = 0.5
CALL_S = TIMES.leaf_call_max_s


@dataclass(slots=True)
class Call:
    """Simulated call that occupies a leaf until it ends."""

    leaf: str
    ends_s: float


@dataclass(eq=False, slots=True)
class SimulatedDaemon:
    """Simulated daemon process that runs the membership logic."""

    state: MembershipState
    alive: bool = True
    paused: bool = False
    store_partitioned: bool = False
    writing: bool = False
    next_round_s: float = 0.0
    inbox: list[Callable[[], None]] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)

    @property
    def vm_id(self) -> str:
        return self.state.own.vm_id


@dataclass(slots=True)
class SimulatedStore:
    """Simulated store with the view and its version."""

    up: bool = True
    view: View | None = None
    version: int = 0


class SimulatedCluster:
    """Deliver messages with delays and check the leaf limits at every tick."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.clock = ManualClock()
        self.store = SimulatedStore()
        self.daemons: list[SimulatedDaemon] = []
        self.partitioned_links: set[frozenset[str]] = set()
        self.out_domains: frozenset[str] = frozenset()
        self.listed: set[str] = set()
        self.listing = 0
        # Incremented by `refresh_list`; changes scheduled before it are dropped.
        self._refreshes = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    # Faults.

    def start(self, vm_id: str) -> None:
        number = next(self._numbers)
        own = Member(
            vm_id=vm_id,
            incarnation=f"{vm_id}#{number}",
            failure_domain=DOMAINS[len(self.daemons) % len(DOMAINS)],
            peer_address=f"127.0.0.1:{number}",
        )
        state = MembershipState(own=own, clock=self.clock, times=TIMES)
        self.daemons.append(SimulatedDaemon(state=state, next_round_s=self.now))
        self._list_later(vm_id, self.random.uniform(0, 2), listed=True)

    def kill(self, daemon: SimulatedDaemon) -> None:
        daemon.alive = False
        daemon.inbox.clear()

    def remove_vm(self, daemon: SimulatedDaemon) -> None:
        self.kill(daemon)
        self._list_later(daemon.vm_id, self.random.uniform(2, 4), listed=False)

    def resume(self, daemon: SimulatedDaemon) -> None:
        daemon.paused = False
        inbox, daemon.inbox = daemon.inbox, []
        for event in inbox:
            event()

    def leave(self, daemon: SimulatedDaemon) -> None:
        daemon.state.leaving_since_s = self.now

    def heal(self) -> None:
        self.store.up = True
        self.partitioned_links.clear()
        for daemon in self.living():
            daemon.store_partitioned = False
            self.resume(daemon)

    def refresh_list(self) -> None:
        """List every VM that ever ran, then only the running ones."""
        self._refreshes += 1
        self.listed = {d.vm_id for d in self.daemons}
        self.listing += 1
        self.advance(2)
        self.listed = {d.vm_id for d in self.living()}
        self.listing += 1

    # Time.

    @property
    def now(self) -> float:
        return self.clock.monotonic_s()

    def living(self) -> list[SimulatedDaemon]:
        return [d for d in self.daemons if d.alive]

    def running(self) -> list[SimulatedDaemon]:
        return [d for d in self.living() if not d.paused]

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for daemon in self.running():
                self._tick(daemon)
            self.check()

    def check(self) -> None:
        """Fail when the shares and calls of all daemons exceed the limit of a leaf."""
        for leaf, limit in LIMITS.items():
            shares = {
                d.state.own.incarnation: self._used_share(d, leaf) for d in self.daemons
            }
            if sum(shares.values()) > limit:
                raise AssertionError(f"{leaf}: {shares} exceed the limit of {limit}")

    def _used_share(self, daemon: SimulatedDaemon, leaf: str) -> int:
        calls = self._in_progress(daemon, leaf)
        if not daemon.alive or daemon.paused:
            return calls
        return max(calls, daemon.state.grade(leaf).allowance(LIMITS[leaf]))

    def _in_progress(self, daemon: SimulatedDaemon, leaf: str) -> int:
        calls = daemon.calls
        return sum(1 for c in calls if c.leaf == leaf and c.ends_s > self.now)

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        at_s = self.now + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _delay_s(self) -> float:
        return self.random.choice((0.0, 0.01, 0.1, 0.1, 0.4, 1.2))

    def _deliver(self, daemon: SimulatedDaemon, event: Callable[[], None]) -> None:
        def arrive() -> None:
            if daemon.paused:
                daemon.inbox.append(event)
            elif daemon.alive:
                event()

        self._later(self._delay_s(), arrive)

    def _list_later(self, vm_id: str, delay_s: float, *, listed: bool) -> None:
        refreshes = self._refreshes

        def show() -> None:
            if refreshes == self._refreshes:
                change = self.listed.add if listed else self.listed.discard
                change(vm_id)
                self.listing += 1

        self._later(delay_s, show)

    # One process.

    def _tick(self, daemon: SimulatedDaemon) -> None:
        daemon.calls = [c for c in daemon.calls if c.ends_s > self.now]
        for leaf, limit in LIMITS.items():
            allowed = daemon.state.grade(leaf).allowance(limit)
            free = allowed - self._in_progress(daemon, leaf)
            daemon.calls += [Call(leaf, self.now + CALL_S)] * max(0, free)
        busy = {c.leaf for c in daemon.calls}
        releasable = daemon.state.leaves_to_release()
        daemon.state.acknowledge(leaf for leaf in releasable if leaf not in busy)
        if self.now >= daemon.next_round_s:
            daemon.next_round_s = self.now + ROUND_S
            self._round(daemon)

    def _round(self, daemon: SimulatedDaemon) -> None:
        state = daemon.state
        state.apply_listing(self.listing, set(self.listed), sent_at_s=self.now)
        for other in self._peers(daemon):
            self._send_heartbeat(daemon, other)
        self._read_store(daemon)
        if state.is_member():
            wanted = state.next_view(self.out_domains) is not None
            if wanted and state.store_confirmed() and not daemon.writing:
                daemon.writing = True
                state.promises.begin_write()
                wait_s = state.promises.wait_s(self.now)
                self._later(wait_s, lambda: self._write(daemon))
        elif not daemon.writing and state.leaving_since_s is None:
            self._join(daemon)

    def _peers(self, daemon: SimulatedDaemon) -> list[SimulatedDaemon]:
        view = daemon.state.view
        others = () if view is None else view.others(daemon.state.own.incarnation)
        vm_ids = {m.vm_id for m in others} - {daemon.vm_id}
        return [d for d in self.living() if d.vm_id in vm_ids]

    def _is_connected(self, first: SimulatedDaemon, second: SimulatedDaemon) -> bool:
        return frozenset((first.vm_id, second.vm_id)) not in self.partitioned_links

    def _send_heartbeat(self, daemon: SimulatedDaemon, other: SimulatedDaemon) -> None:
        sent_at_s = self.now
        if not self._is_connected(daemon, other):
            view = daemon.state.view
            for member in view.members if view is not None else ():
                if member.vm_id == other.vm_id:
                    daemon.state.failure_detector.record_failure(
                        member.incarnation, sent_at_s
                    )
            return
        request = Heartbeat(**daemon.state.heartbeat(reply=False))

        def answer() -> None:
            other.state.receive(request)
            reply = Heartbeat(**other.state.heartbeat(reply=True))
            view = other.state.view

            def take() -> None:
                daemon.state.receive_reply(other.vm_id, reply, sent_at_s=sent_at_s)
                if view is not None:
                    daemon.state.adopt(view)

            if self._is_connected(daemon, other):
                self._deliver(daemon, take)

        self._deliver(other, answer)
        # Requests to a paused or partitioned peer time out.
        self._later(2 * ROUND_S, lambda: self._time_out(daemon, other, sent_at_s))

    def _time_out(
        self, daemon: SimulatedDaemon, other: SimulatedDaemon, sent_at_s: float
    ) -> None:
        incarnation = other.state.own.incarnation
        if not daemon.state.failure_detector.answered_after(incarnation, sent_at_s):
            daemon.state.failure_detector.record_failure(incarnation, sent_at_s)

    def _reaches_store(self, daemon: SimulatedDaemon) -> bool:
        return self.store.up and not daemon.store_partitioned

    def _read_store(self, daemon: SimulatedDaemon) -> None:
        sent_at_s = self.now
        if not self._reaches_store(daemon):
            return

        def serve() -> None:
            view, version = self.store.view, self.store.version

            def take() -> None:
                daemon.state.promises.record_version(version)
                if view is not None:
                    daemon.state.adopt(view)
                daemon.state.store_confirmation.record(sent_at_s)

            if self._reaches_store(daemon):
                self._deliver(daemon, take)

        self._later(self._delay_s(), serve)

    def _write(self, daemon: SimulatedDaemon) -> None:
        if daemon.paused:
            daemon.inbox.append(lambda: self._write(daemon))
            return
        following = daemon.state.next_view(self.out_domains)
        if following is None or not daemon.alive:
            self._end_write(daemon)
            return
        self._put(daemon, following, self.store.version)

    def _end_write(self, daemon: SimulatedDaemon) -> None:
        daemon.writing = False
        daemon.state.promises.end_write()

    def _put(self, daemon: SimulatedDaemon, view: View, expected: int) -> None:
        """Send a conditional write whose effect or answer may be delayed."""
        reachable = self._reaches_store(daemon)
        known = 0 if self.store.view is None else self.store.view.epoch
        if not reachable or known + 1 != view.epoch:
            self._end_write(daemon)
            return
        written: list[int] = []

        def serve() -> None:
            if self.store.up and self.store.version == expected:
                self.store.version += 1
                self.store.view = view
                written.append(self.store.version)

        def answer() -> None:
            if not written or lost:
                daemon.state.promises.record_lost_answer(expected)
            else:
                daemon.state.promises.record_version(written[0])
                daemon.state.adopt(view)
            self._end_write(daemon)

        lost = self.random.random() < 0.3
        late_s = self.random.choice((0.0, 0.0, 0.5, 5.0))
        self._later(late_s, serve)
        self._later(0.6, lambda: self._deliver(daemon, answer))

    def _join(self, daemon: SimulatedDaemon) -> None:
        sponsors = [d for d in self.running() if d.state.is_member()]
        sponsors = [d for d in sponsors if self._is_connected(daemon, d)]
        if sponsors:
            sponsor = self.random.choice(sponsors)
            own = replace(daemon.state.own)

            def ask() -> None:
                if sponsor.state.is_member():
                    sponsor.state.joins[own.vm_id] = own

            self._deliver(sponsor, ask)
        elif self._reaches_store(daemon):
            view = daemon.state.recovery_view(self.store.view)
            if view is not None:
                daemon.writing = True
                self._put(daemon, view, self.store.version)
