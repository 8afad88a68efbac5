"""Stateful test of bookings under faults, in virtual time.

Invariants: a key runs at most once, NOT_RUN is only returned for a key that did
not run, and a recorded result is that of the run.
"""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from booking_fleet import Fleet
from booking_fleet import virtual_loop
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    import unittest

VMS = ("vm-1", "vm-2", "vm-3")
EXAMPLES = int(os.environ.get("GYPSUMVANE_FUZZ_EXAMPLES", "60"))
vm_ids = st.sampled_from(VMS)
key_choice = st.sampled_from([0, 0, 1, 1, 2])
# With a deadline beyond the lease, a new owner can wait for the former owner's
# lease to expire.
deadlines = st.sampled_from([1000, 6000])
waits = st.sampled_from([0.0, 0.05, 2.0])


@dataclass
class TrackedRequest:
    """One request in progress and what was known when it was sent."""

    key: str
    task: asyncio.Task[Outcome]
    runs_before: int
    overlapped: bool


class BookingMachine(RuleBasedStateMachine):
    """Send a few keys through several daemons while faults are injected."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.loop = virtual_loop()
        self.fleet = Fleet()
        self.environment = self.fleet.environment
        rng = random.Random(seed)
        delays = (0.0, 0.001, 0.001, 0.02, 0.2)
        self.environment.delays = iter(lambda: rng.choice(delays), None)
        self.loop.run_until_complete(self.fleet.start(*VMS))
        self.keys = ["key-0", "key-1", "key-2"]
        self.open_requests: list[TrackedRequest] = []
        # Verdicts of all requests that have ended, by key.
        self.verdicts_by_key: dict[str, list[Verdict]] = {}

    @rule(vm_id=vm_ids, through=vm_ids, wait_s=waits)
    def book_reserved(self, vm_id: str, through: str, wait_s: float) -> None:
        daemon = self.fleet.daemons.get(vm_id)
        if daemon is not None:
            self.keys += daemon.bookings.reserve(1)
            self.send(through, self.keys[-1], 1000)
            self.pass_time(wait_s)

    @rule(vm_id=vm_ids, key=key_choice, left_ms=deadlines, wait_s=waits)
    def book(self, vm_id: str, key: int, left_ms: int, wait_s: float) -> None:
        self.send(vm_id, self.pick(key), left_ms)
        self.pass_time(wait_s)

    @rule(key=key_choice, left_ms=deadlines, gap_s=waits)
    def race(self, key: int, left_ms: int, gap_s: float) -> None:
        """Send one key through all daemons, concurrently or in short succession."""
        name = self.pick(key)
        for vm_id in list(self.fleet.daemons):
            self.send(vm_id, name, left_ms)
            self.pass_time(gap_s)

    def pick(self, key: int) -> str:
        """Return a recent key, or a new one for 0."""
        if key == 0:
            self.keys.append(f"key-{len(self.keys)}")
        return self.keys[-1 - max(0, key - 1) % len(self.keys)]

    def send(self, vm_id: str, key: str, left_ms: int) -> None:
        """Start a request through a daemon if it is running."""
        if vm_id not in self.fleet.daemons:
            return
        concurrent_requests = [
            other for other in self.open_requests if other.key == key
        ]
        for other in concurrent_requests:
            other.overlapped = True
        task = self.loop.create_task(self.fleet.book(vm_id, key, left_ms=left_ms))
        self.open_requests.append(
            TrackedRequest(
                key, task, self.environment.runs[key], bool(concurrent_requests)
            )
        )
        self.verdicts_by_key.setdefault(key, [])

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0, 5.0]))
    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for request in [
            request for request in self.open_requests if request.task.done()
        ]:
            self.open_requests.remove(request)
            verdict = Verdict.MAY_HAVE_RUN
            if not request.task.cancelled():
                verdict = request.task.result().verdict
                self.check(request, request.task.result())
            self.verdicts_by_key[request.key].append(verdict)
        in_progress = {request.key for request in self.open_requests}
        for key, verdicts in self.verdicts_by_key.items():
            if key not in in_progress and set(verdicts) == {Verdict.NOT_RUN}:
                assert not self.environment.runs[key], "a run after NOT_RUN"

    @rule(
        fault=st.sampled_from(
            [
                ("put", "down"),
                ("put", "lost_before"),
                ("put", "lost_after"),
                ("put", "late"),
                ("get", "down"),
                ("leaf", "not_run"),
                ("leaf", "lost"),
                ("peer", "unsent"),
                ("peer", "lost"),
            ]
        ),
        times=st.integers(1, 3),
    )
    def fail_next(self, fault: tuple[str, str], times: int) -> None:
        operation, kind = fault
        self.environment.faults.setdefault(operation, []).extend([kind] * times)

    @rule(vm_id=vm_ids)
    def cut_store(self, vm_id: str) -> None:
        self.environment.cut_off ^= {vm_id}

    @rule()
    def split_homes(self) -> None:
        """Give every daemon a view in which it is the home of everything."""
        for vm_id, daemon in self.fleet.daemons.items():
            daemon.membership.own_homes = {"*": vm_id}

    @rule(vm_id=vm_ids, other=vm_ids)
    def isolate(self, vm_id: str, other: str) -> None:
        """Disconnect a home from the store while another daemon takes over."""
        daemon = self.fleet.daemons.get(vm_id)
        if daemon is not None:
            daemon.membership.own_homes = {"*": vm_id}
            self.environment.cut_off.add(vm_id)
            self.environment.homes["*"] = other

    @rule()
    def store_outage(self) -> None:
        self.environment.cut_off = set() if self.environment.cut_off else set(VMS)

    @rule(vm_id=vm_ids)
    def move_home(self, vm_id: str) -> None:
        self.environment.homes["*"] = vm_id

    @rule(vm_id=vm_ids, home=vm_ids)
    def toggle_stale_view(self, vm_id: str, home: str) -> None:
        daemon = self.fleet.daemons.get(vm_id)
        if daemon is not None:
            stale = daemon.membership.own_homes is not None
            daemon.membership.own_homes = None if stale else {"*": home}

    @rule(vm_id=vm_ids)
    def toggle_pause(self, vm_id: str) -> None:
        event = self.environment.paused.pop(vm_id, None)
        if event is not None:
            event.set()
        elif vm_id in self.fleet.daemons:
            self.environment.paused[vm_id] = asyncio.Event()

    @precondition(lambda self: len(self.fleet.daemons) > 1)
    @rule(vm_id=vm_ids, gone=st.booleans())
    def kill(self, vm_id: str, gone: bool) -> None:
        if vm_id in self.fleet.daemons:
            event = self.environment.paused.pop(vm_id, None)
            if event is not None:
                event.set()
            self.loop.run_until_complete(self.fleet.kill(vm_id))
            if gone:
                self.environment.members.pop(vm_id, None)

    @rule(vm_id=vm_ids)
    def start(self, vm_id: str) -> None:
        """Restart a daemon as a new incarnation."""
        if vm_id not in self.fleet.daemons:
            self.loop.run_until_complete(self.fleet.start(vm_id))

    def check(self, request: TrackedRequest, outcome: Outcome) -> None:
        """Check an outcome against the runs that took place."""
        runs = self.environment.runs[request.key]
        if outcome.verdict is Verdict.NOT_RUN:
            assert request.runs_before == 0, f"false NOT_RUN: {outcome}"
            assert request.overlapped or runs == 0, f"false NOT_RUN: {outcome}"
        if isinstance(outcome, Completed):
            assert outcome.body == self.environment.bodies[request.key], (
                "the result is not that of the run"
            )
        if outcome.verdict is Verdict.RAN:
            assert runs == 1
        assert runs <= 1, "a key ran twice"

    def teardown(self) -> None:
        if not hasattr(self, "loop"):
            return
        self.fleet.resume()
        self.environment.cut_off = set()
        self.pass_time(10.0)
        self.loop.run_until_complete(self.fleet.stop())
        self.loop.close()
        assert max(self.environment.runs.values(), default=0) <= 1, "a key ran twice"


BookingFaultsTest: type[unittest.TestCase] = BookingMachine.TestCase
BookingFaultsTest.settings = settings(  # type: ignore[attr-defined]
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
