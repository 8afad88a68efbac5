"""Tests of a version move at all daemons of a fleet, against the operators' bounds."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import replace

from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.move_evidence import START_SEPARATOR
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveOrder
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_core.routing.version_move import MoveState
from gypsumvane_core.routing.version_move import VersionMove

# The operators' bounds of a move.
CANARY_SHARE = 0.1
CANARY_SLACK = 50
TAKEN_BACK_WITHIN_S = 5.0
BOUND = CanaryBound(CANARY_SHARE, CANARY_SLACK)
# Interval at which daemons exchange what they know.
PING_INTERVAL_S = 1.0
SEEDS = range(5)
GOOD_SEEDS = 15
LATENCY_MS = 30.0
LEAVES = [
    LeafEntry(version, "s", "a:1", "a", version=version) for version in ("v1", "v2")
]


@dataclass(frozen=True)
class Load:
    """Size of a fleet and its requests during a move."""

    daemons: int
    requests_per_s: float
    duration_s: float


@dataclass(frozen=True)
class Version:
    """Answers of a new version."""

    bad_share: float
    # Share of the duration from which answers are bad.
    bad_from: float = 0.0
    # Bad answers are late by this factor instead of failing.
    slow_factor: float = 0.0


@dataclass(frozen=True)
class Loss:
    """Restart of each daemon from one on, in steps, at once."""

    at_s: float
    first: int = 0
    step: int = 1


LOADS = (Load(8, 45.0, 12.0), Load(8, 45.0, 30.0), Load(8, 11.0, 15.0))
LARGE_FLEET = Load(30, 22.0, 20.0)
FEW_REQUESTS = Load(30, 2.0, 20.0)
LOW_LOADS = (LOADS[2], LARGE_FLEET)
OLD_VERSION = Version(0.0)


class MoveFleet:
    """Execute one order at several daemons in virtual time."""

    def __init__(self, load: Load, version: Version, seed: int) -> None:
        self.load = load
        self.version = version
        self.rng = random.Random(seed)
        self.order = MoveOrder("s", "v2", load.duration_s)
        self.moves = [
            VersionMove(self.order, 0.0, BOUND, fleet_share=1 / load.daemons)
            for _ in range(load.daemons)
        ]
        # State in the store, and number of restarts of each daemon.
        self.state = MoveState.RUNNING
        self.starts = [0] * load.daemons
        self.requests = 0
        self.exposed = 0
        self.bad_answers = 0
        self.fiftieth_bad_s: float | None = None
        self.exposed_late = 0

    def run(self, *losses: Loss) -> None:
        """Send requests until the duration of the move has passed.

        Daemons restart at the losses; the duration is counted from the last one.
        """
        now_s = 0.0
        next_ping_s = PING_INTERVAL_S
        due_losses = list(losses)
        end_s = self.load.duration_s + (losses[-1].at_s if losses else 0.0)
        while now_s < end_s:
            now_s += self.rng.expovariate(self.load.requests_per_s)
            if due_losses and now_s > due_losses[0].at_s:
                loss = due_losses.pop(0)
                for at in range(loss.first, self.load.daemons, loss.step):
                    self.restart(at, now_s)
            if now_s > next_ping_s:
                next_ping_s += PING_INTERVAL_S
                self.exchange(now_s)
            self.request(self.rng.choice(self.moves), now_s)
            due = self.moves[0].due_state(now_s)
            if due is not None:
                self.record(due)

    def restart(self, at: int, now_s: float) -> None:
        """Read the move from the store, as a daemon does after its restart."""
        registry = MoveRegistry(BOUND)
        registry.share = 1 / self.load.daemons
        self.starts[at] += 1
        self.moves[at] = registry.put(replace(self.order, state=self.state), now_s)

    def exchange(self, now_s: float) -> None:
        """Pass the reports of all daemons to all others."""
        reports = [
            move.report(f"{at}{START_SEPARATOR}{self.starts[at]}", now_s)
            for at, move in enumerate(self.moves)
        ]
        for at, move in enumerate(self.moves):
            move.add_reports(reports[:at] + reports[at + 1 :], now_s)

    def record(self, state: MoveState) -> None:
        """Record a state of the move in the store."""
        self.state = state
        for move in self.moves:
            move.update(MoveOrder("s", "v2", self.load.duration_s, state))

    def request(self, move: VersionMove, now_s: float) -> None:
        """Send one request and record its answer."""
        self.requests += 1
        new = move.select_leaves(LEAVES, self.rng.random(), now_s) == [LEAVES[1]]
        version = self.version if new else OLD_VERSION
        bad = (
            now_s >= version.bad_from * self.load.duration_s
            and self.rng.random() < version.bad_share
        )
        if new:
            self.exposed += 1
            self.bad_answers += bad
            if self.fiftieth_bad_s is None:
                if self.bad_answers >= CANARY_SLACK:
                    self.fiftieth_bad_s = now_s
            elif now_s > self.fiftieth_bad_s + TAKEN_BACK_WITHIN_S:
                self.exposed_late += 1
        slow = bad and version.slow_factor > 0
        latency_ms = LATENCY_MS * self.rng.lognormvariate(0.0, 0.35)
        move.record_answer(
            "r",
            "v2" if new else "v1",
            failed=bad and not slow,
            latency_ms=latency_ms * (version.slow_factor if slow else 1.0),
        )


class MoveFleetTest(unittest.TestCase):
    """Check the bounds of bad versions, and that good ones are completed."""

    def check_exposure(self, version: Version, *loads: Load) -> None:
        """Check the bounds on the requests of a bad version."""
        violations = []
        for load in loads:
            for seed in SEEDS:
                fleet = MoveFleet(load, version, seed)
                fleet.run()
                allowed = CANARY_SHARE * fleet.requests + CANARY_SLACK
                if fleet.exposed > allowed or fleet.exposed_late:
                    counts = (fleet.exposed, allowed, fleet.exposed_late)
                    violations.append((load, seed, *counts))
        self.assertEqual(violations, [])

    def test_failing_version(self) -> None:
        """Guard against too many requests for a version that always fails."""
        self.check_exposure(Version(1.0), *LOADS, LARGE_FLEET)

    def test_version_that_fails_in_part(self) -> None:
        """Guard against too many requests for a version that fails in part."""
        self.check_exposure(Version(0.3), *LOADS, LARGE_FLEET)

    def test_version_that_turns_bad_late(self) -> None:
        """Guard against a share that rises long before the move has to end."""
        self.check_exposure(Version(0.6, bad_from=0.5), *LOADS, LARGE_FLEET)

    def test_slow_version(self) -> None:
        """Guard against too many requests for a slow version."""
        self.check_exposure(Version(0.6, slow_factor=4.0), *LOADS, LARGE_FLEET)

    def test_loss_of_all_evidence(self) -> None:
        """Guard against a bad version that is completed after all daemons restarted.

        The move went on from the end of its canary, with answers of some seconds.
        """
        for version in (Version(1.0), Version(0.6, slow_factor=4.0)):
            for load in (*LOADS, LARGE_FLEET):
                for lost_at in (0.7, 0.83, 1.3):
                    with self.subTest(version=version, load=load, lost_at=lost_at):
                        fleet = MoveFleet(load, version, seed=1)
                        fleet.run(Loss(lost_at * load.duration_s))
                        allowed = CANARY_SHARE * fleet.requests + CANARY_SLACK
                        self.assertIs(fleet.moves[0].state, MoveState.ROLLED_BACK)
                        self.assertLessEqual(fleet.exposed, allowed)
                        self.assertEqual(fleet.exposed_late, 0)

    def test_loss_of_evidence_in_two_steps(self) -> None:
        """Guard against a bad version that is completed by what half of them saw.

        Each half learned from the other one how long the move had lasted.
        """
        for load in LOW_LOADS:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    fleet = MoveFleet(load, Version(1.0, slow_factor=10.0), seed)
                    lost_s = 0.6 * load.duration_s
                    fleet.run(Loss(lost_s, 0, 2), Loss(lost_s + 2.0, 1, 2))
                    self.assertIs(fleet.moves[0].state, MoveState.ROLLED_BACK)

    def test_good_version_is_completed_after_a_loss(self) -> None:
        """Guard against a move that does not end after all daemons restarted."""
        for load in (*LOADS, LARGE_FLEET):
            with self.subTest(load=load):
                fleet = MoveFleet(load, OLD_VERSION, seed=1)
                fleet.run(Loss(0.83 * load.duration_s))
                self.assertIs(fleet.moves[0].state, MoveState.COMPLETED)

    def test_good_version_is_completed(self) -> None:
        """Guard against a good version that chance holds back or takes back."""
        for load in (*LOADS, LARGE_FLEET, FEW_REQUESTS):
            completed = 0
            for seed in range(GOOD_SEEDS):
                fleet = MoveFleet(load, Version(0.0), seed)
                fleet.run()
                completed += fleet.moves[0].state is MoveState.COMPLETED
            with self.subTest(load=load):
                self.assertEqual(completed, GOOD_SEEDS)


if __name__ == "__main__":
    unittest.main()
