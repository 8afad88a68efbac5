"""Tests of the upstream limiter against a simulated leaf."""

from __future__ import annotations

import math
import os
import unittest
from dataclasses import dataclass

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from gypsumvane_core.document_models import Policy
from gypsumvane_core.upstream_limiter import DrainCause
from gypsumvane_core.upstream_limiter import SentCall
from gypsumvane_core.upstream_limiter import StatusReport
from gypsumvane_core.upstream_limiter import UpstreamLimiter
from gypsumvane_core.upstream_state import TRANSITIONS
from gypsumvane_core.upstream_state import UpstreamState

SLOTS = 5
SPACING_S = 0.05
GOOD_ANSWERS = 2
POLICY = Policy(cold_concurrency=1, cold_spacing_ms=50, warm_good_answers=GOOD_ANSWERS)
# Leaf and home share a clock; only float rounding differs.
ROUNDING_S = 1e-6


@dataclass
class SimulatedLeaf:
    """Simulated leaf that checks the calls it receives; the oracle of the test."""

    boot: int = 1
    good: int = 0
    # Whether the sender has had a sign that the leaf is cold.
    signalled: bool = True
    last_work_s: float = -math.inf
    in_progress: int = 0
    excess: int = 0
    calls_while_out: int = 0
    out: bool = False
    draining_known: bool = False

    @property
    def cold(self) -> bool:
        """Return whether the leaf is cold."""
        return self.good < GOOD_ANSWERS

    def turn_cold(self, *, signalled: bool) -> None:
        """Turn cold, with or without a sign to the sender."""
        self.good = 0
        self.signalled = signalled
        self.last_work_s = -math.inf

    def receive(self, now_s: float) -> bool:
        """Receive a call and return whether the leaf accepts it."""
        self.calls_while_out += self.out or self.draining_known
        spaced = now_s - self.last_work_s >= SPACING_S - ROUNDING_S
        accepted = not self.cold or (self.in_progress == 0 and spaced)
        self.excess += self.signalled and not accepted
        if accepted:
            self.last_work_s = now_s
            self.in_progress += 1
        return accepted


@dataclass
class Call:
    """Record a call in progress and the leaf process that executes it."""

    sent: SentCall
    boot: int
    # False for a call that the leaf sheds.
    accepted: bool


class UpstreamLimiterMachine(RuleBasedStateMachine):
    """Apply random events; the leaf must never get more calls than it can take."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.leaf = SimulatedLeaf()
        self.limiter = UpstreamLimiter(POLICY, SLOTS)
        self.limiter.assign()
        self.calls: list[Call] = []
        self.reports: list[StatusReport] = []
        self.homes_away = 0

    def boot_id(self, boot: int) -> str:
        """Return the boot identifier of a process."""
        return f"boot-{boot}"

    def send_wait_s(self, *, confirmed: bool = True) -> float | None:
        """Return when the next call may be sent."""
        return self.limiter.send_wait_s(
            self.now_s,
            in_progress=len(self.calls),
            slots_allowed=SLOTS if confirmed else SLOTS // 2,
            confirmed=confirmed,
        )

    def headers(self, boot: int) -> bool:
        """Deliver the headers of a response."""
        return self.limiter.on_headers(
            self.now_s, boot_id=self.boot_id(boot), draining=False
        )

    @rule(wait_s=st.sampled_from([0.001, 0.01, 0.05, 0.2, 2.0]))
    def wait(self, wait_s: float) -> None:
        """Let time pass."""
        self.now_s += wait_s

    @rule(count=st.integers(1, 6), confirmed=st.booleans())
    def send(self, count: int, confirmed: bool) -> None:
        """Send as many calls as allowed, as under unlimited demand."""
        for _ in range(count):
            wait_s = self.send_wait_s(confirmed=confirmed)
            if wait_s is None:
                return
            self.now_s += wait_s
            if not confirmed:
                assert self.limiter.state is UpstreamState.WARM
            sent = self.limiter.on_sent(self.now_s)
            accepted = self.leaf.receive(self.now_s)
            self.calls.append(Call(sent, self.leaf.boot, accepted))

    @rule(count=st.integers(5, 30))
    def serve(self, count: int) -> None:
        """Send and answer calls in turn, as under a steady load."""
        for _ in range(count):
            before = len(self.calls)
            self.send(1, True)
            if len(self.calls) == before:
                return
            self.now_s += 0.004
            self.answer(-1)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 10))
    def answer(self, index: int) -> None:
        """End a call by an answer, a refusal or a lost connection."""
        call = self.calls.pop(index % len(self.calls))
        if call.boot != self.leaf.boot:
            self.limiter.on_connection_lost()
            return
        self.headers(call.boot)
        if not call.accepted:
            self.leaf.signalled = True
            self.limiter.on_shed(self.now_s)
            return
        self.leaf.in_progress -= 1
        self.leaf.good += 1
        self.limiter.on_good_answer(call.sent, self.now_s)

    @precondition(lambda self: self.calls)
    @rule()
    def late_call(self) -> None:
        """End a call at its deadline, at the leaf as well."""
        call = self.calls.pop(0)
        self.limiter.on_late(call.sent, self.now_s)
        if call.boot == self.leaf.boot and call.accepted:
            self.leaf.in_progress -= 1

    @rule()
    def restart(self) -> None:
        """Restart the leaf; the lost connections are the first sign."""
        self.leaf.boot += 1
        self.leaf.in_progress = 0
        self.leaf.turn_cold(signalled=True)
        for _ in self.calls:
            self.limiter.on_connection_lost()
        self.calls.clear()
        self.headers(self.leaf.boot)

    @rule()
    def outage(self) -> None:
        """Make the leaf unreachable for a time, without a new boot identifier."""
        self.limiter.on_unreachable()
        self.leaf.turn_cold(signalled=True)
        assert self.send_wait_s() is None or self.limiter.drain_causes
        self.now_s += 1.0
        self.report(cold=False)

    @rule()
    def turn_cold_unseen(self) -> None:
        """Turn the leaf cold; its first refusal is the first sign."""
        self.leaf.turn_cold(signalled=False)

    @rule(cold=st.booleans())
    def report(self, cold: bool) -> None:
        """Deliver a report that may be wrong about cold."""
        report = StatusReport(answering_boot_id=self.boot_id(self.leaf.boot), cold=cold)
        before = self.limiter.limit
        serving = self.limiter.state
        self.limiter.on_report(report, self.now_s)
        self.reports.append(report)
        if serving not in (UpstreamState.UNAVAILABLE, UpstreamState.DRAINING):
            assert self.limiter.limit <= before, "a report raised the limit"

    @precondition(lambda self: self.reports)
    @rule(index=st.integers(0, 30))
    def lagging_report(self, index: int) -> None:
        """Deliver an old report once more."""
        before = self.limiter.limit
        serving = self.limiter.state
        self.limiter.on_report(self.reports[index % len(self.reports)], self.now_s)
        if serving not in (UpstreamState.UNAVAILABLE, UpstreamState.DRAINING):
            assert self.limiter.limit <= before, "an old report raised the limit"

    @rule(cause=st.sampled_from([DrainCause.DOMAIN, DrainCause.TOPOLOGY]))
    def take_out(self, cause: DrainCause) -> None:
        """Take the failure domain or the leaf out of service."""
        self.limiter.set_drain(cause, on=True)
        self.leaf.out = True
        # A leaf without work turns cold; its return to service is the sign.
        self.leaf.turn_cold(signalled=True)

    @rule()
    def bring_back(self) -> None:
        """Bring the failure domain and the leaf back into service."""
        self.limiter.set_drain(DrainCause.DOMAIN, on=False)
        self.limiter.set_drain(DrainCause.TOPOLOGY, on=False)
        self.leaf.out = False

    @rule(reports=st.integers(0, 3))
    def drain_and_return(self, reports: int) -> None:
        """Drain the leaf; reports that contradict it right away are ignored."""
        boot_id = self.boot_id(self.leaf.boot)
        self.limiter.on_headers(self.now_s, boot_id=boot_id, draining=True)
        self.leaf.draining_known = True
        self.leaf.turn_cold(signalled=True)
        for _ in range(reports):
            self.now_s += 1.0
            self.report(cold=False)
            self.send(1, True)
        self.leaf.draining_known = False
        for _ in range(7):
            self.now_s += 1.0
            self.report(cold=False)

    @rule()
    def change_home(self) -> None:
        """Release the leaf and become its home again."""
        self.limiter.release()
        assert self.send_wait_s() is None
        self.leaf.turn_cold(signalled=True)
        self.limiter.assign()

    @invariant()
    def leaf_never_gets_more_than_it_can_take(self) -> None:
        """Check the violations that the simulated leaf counted."""
        assert self.leaf.excess == 0, "calls beyond the limit of a cold leaf"
        assert self.leaf.calls_while_out == 0, "new calls for a leaf out of service"

    @invariant()
    def calls_stay_within_the_slots(self) -> None:
        """Check that the limit never exceeds the slots of the leaf."""
        assert self.limiter.limit <= SLOTS


UpstreamLimiterMachine.TestCase.settings = settings(
    max_examples=int(os.environ.get("GYPSUMVANE_EXAMPLES", "250")),
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class UpstreamLimiterStatefulTest(UpstreamLimiterMachine.TestCase):
    """Guard against calls beyond the limit of a cold leaf."""


class UpstreamLimiterTest(unittest.TestCase):
    """Check individual rules."""

    def setUp(self) -> None:
        self.limiter = UpstreamLimiter(POLICY, SLOTS)
        self.limiter.assign()
        self.now_s = 0.0

    def warm_up(self, answers: int = 100) -> None:
        """Answer calls in time until the leaf is warm, at most this many."""
        for _ in range(answers):
            if self.limiter.state is UpstreamState.WARM:
                return
            self.now_s += 1.0
            sent = self.limiter.on_sent(self.now_s)
            self.limiter.on_headers(self.now_s, boot_id="boot-1", draining=False)
            self.limiter.on_good_answer(sent, self.now_s + 0.004)

    def test_good_answers_warm_the_leaf(self) -> None:
        """Guard against a leaf that stays cold forever."""
        self.warm_up()
        self.assertEqual(self.limiter.state, UpstreamState.WARM)
        self.assertEqual(self.limiter.limit, SLOTS)

    def test_wrong_report_holds_the_limit_for_a_bounded_time(self) -> None:
        """Guard against a wrong report that keeps a leaf cold forever."""
        for _ in range(30):
            self.now_s += 1.0
            self.limiter.on_report(StatusReport("boot-1", cold=True), self.now_s)
            self.warm_up(answers=1)
        self.assertEqual(self.limiter.state, UpstreamState.WARM)

    def test_answers_from_before_the_sign_do_not_raise_the_limit(self) -> None:
        """Guard against growth by answers from before a restart."""
        sent = [self.limiter.on_sent(0.0) for _ in range(20)]
        self.limiter.on_cold_sign()
        for call in sent:
            self.limiter.on_good_answer(call, 0.004)
        self.assertEqual((self.limiter.state, self.limiter.limit), ("cold", 1))

    def test_unconfirmed_home_sends_to_a_warm_leaf_that_responded(self) -> None:
        """Guard against stopping all work while the store is unavailable."""
        self.warm_up()
        ask = {"in_progress": 0, "slots_allowed": 1, "confirmed": False}
        self.assertEqual(self.limiter.send_wait_s(self.now_s + 0.1, **ask), 0.0)
        self.assertIsNone(self.limiter.send_wait_s(self.now_s + 10.0, **ask))

    def test_every_state_can_be_reached_and_left(self) -> None:
        """Guard against a state that cannot be reached or left."""
        reached = {target for _, _, target in TRANSITIONS}
        left = {source for _, sources, _ in TRANSITIONS for source in sources}
        self.assertEqual(reached, set(UpstreamState))
        self.assertEqual(left, set(UpstreamState))
