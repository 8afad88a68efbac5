"""Tests of version moves in routing."""

from __future__ import annotations

import random
import unittest

from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveOrder
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_core.routing.version_move import MoveState
from gypsumvane_core.routing.version_move import VersionMove

# The operators' bound on the share of requests that a bad version may get.
CANARY_SHARE = 0.1
DURATION_S = 12.0
ORDER = MoveOrder(service="s", target_version="v2", duration_s=DURATION_S)


def leaf(name: str, version: str) -> LeafEntry:
    """Return a leaf of service ``s`` with a version."""
    return LeafEntry(name, "s", name, "a", version=version)


class VersionMoveTest(unittest.TestCase):
    """Check the shares and states of a move, and when a version is taken back."""

    def setUp(self) -> None:
        self.move = VersionMove(ORDER, 0.0, CanaryBound(CANARY_SHARE))
        self.rng = random.Random(5)

    def answers(self, version: str, count: int, bad_share: float = 0.0) -> int:
        """Record answers until the version is taken back and return their number."""
        for number in range(count):
            failed = self.rng.random() < bad_share
            if self.move.record_answer("r", version, failed=failed, latency_ms=30.0):
                return number + 1
        return count

    def test_share_rises_after_the_canary(self) -> None:
        self.assertLess(self.move.new_version_share(1.0), CANARY_SHARE)
        self.assertLess(self.move.new_version_share(0.6 * DURATION_S), CANARY_SHARE)
        self.answers("v1", 20)
        self.assertLess(self.move.new_version_share(0.74 * DURATION_S), CANARY_SHARE)
        self.answers("v2", 20)
        self.assertGreater(self.move.new_version_share(0.75 * DURATION_S), 0.5)
        self.assertEqual(self.move.new_version_share(0.82 * DURATION_S), 1.0)
        self.assertIsNone(self.move.due_state(0.82 * DURATION_S))
        self.assertEqual(self.move.due_state(0.9 * DURATION_S), MoveState.COMPLETED)

    def test_version_without_a_good_answer_is_not_completed(self) -> None:
        """Guard against a completion by time alone (EXPOSURE)."""
        for _ in range(2):
            self.move.select_leaves([leaf("1", "v1"), leaf("2", "v2")], 0.0, 1.0)
        self.answers("v2", 2, bad_share=1.0)
        self.assertIsNone(self.move.due_state(0.9 * DURATION_S))
        self.assertEqual(self.move.due_state(0.98 * DURATION_S), MoveState.ROLLED_BACK)

    def test_version_that_is_probably_worse_is_not_completed(self) -> None:
        """Guard against a share that rises while answers are bad (EXPOSURE)."""
        self.answers("v1", 100)
        self.answers("v2", 30)
        for _ in range(3):
            self.answers("v2", 1, bad_share=1.0)
        self.assertEqual(self.move.state, MoveState.RUNNING)
        self.assertLess(self.move.new_version_share(0.82 * DURATION_S), CANARY_SHARE)
        self.assertNotEqual(self.move.due_state(0.9 * DURATION_S), MoveState.COMPLETED)

    def test_service_without_requests_moves_in_time(self) -> None:
        """Guard against a move that waits for answers nobody asks for."""
        self.answers("v1", 5)
        self.assertEqual(self.move.due_state(0.9 * DURATION_S), MoveState.COMPLETED)

    def test_failing_version_is_taken_back_early(self) -> None:
        """Guard against more than 50 bad answers across all daemons."""
        self.answers("v1", 200)
        self.assertLess(self.answers("v2", 100, bad_share=1.0), 7)
        self.assertEqual(self.move.state, MoveState.ROLLED_BACK)
        self.assertEqual(self.move.new_version_share(DURATION_S), 0.0)

    def test_version_that_turns_bad_late_is_taken_back(self) -> None:
        self.answers("v1", 200)
        self.answers("v2", 300)
        self.assertLess(self.answers("v2", 200, bad_share=0.4), 60)
        self.assertEqual(self.move.state, MoveState.ROLLED_BACK)

    def test_slow_version_is_taken_back(self) -> None:
        for _ in range(100):
            self.move.record_answer("r", "v1", failed=False, latency_ms=30.0)
        for _ in range(20):
            self.move.record_answer("r", "v2", failed=False, latency_ms=150.0)
        self.assertEqual(self.move.state, MoveState.ROLLED_BACK)

    def test_version_that_never_answers_is_taken_back(self) -> None:
        """Guard against requests that are given up and count for nothing (EXPOSURE)."""
        for _ in range(100):
            self.move.record_answer("r", "v1", failed=False, latency_ms=30.0)
        for _ in range(20):
            self.move.record_unanswered("r", "v2", 20.0)
        self.assertEqual(self.move.state, MoveState.RUNNING)
        for _ in range(20):
            self.move.record_unanswered("r", "v2", 300.0)
        self.assertEqual(self.move.state, MoveState.ROLLED_BACK)

    def test_version_without_any_answer_is_not_completed(self) -> None:
        """Guard against a share that rises because nothing was answered yet."""
        both = [leaf("1", "v1"), leaf("2", "v2")]
        self.assertEqual(self.move.select_leaves(both, 0.0, 1.0), both[1:])
        self.assertLess(self.move.new_version_share(0.8 * DURATION_S), CANARY_SHARE)
        self.assertIsNone(self.move.due_state(0.9 * DURATION_S))

    def test_good_version_survives_equal_failures_of_both(self) -> None:
        """Guard against taking back a good version by chance."""
        for _ in range(50):
            self.answers("v1", 20, bad_share=0.1)
            self.answers("v2", 20, bad_share=0.1)
        self.assertEqual(self.move.state, MoveState.RUNNING)

    def test_recorded_end_is_final(self) -> None:
        """Guard against requests to a version that was taken back."""
        self.move.update(MoveOrder("s", "v2", DURATION_S, MoveState.ROLLED_BACK, 5))
        self.move.update(MoveOrder("s", "v2", DURATION_S, MoveState.RUNNING, 6))
        self.assertEqual(self.move.state, MoveState.ROLLED_BACK)

    def test_recorded_completion_is_followed(self) -> None:
        """Guard against sends to old leaves, which a completion stops."""
        self.move.take_back()
        self.move.update(MoveOrder("s", "v2", DURATION_S, MoveState.COMPLETED, 5))
        self.assertEqual(self.move.state, MoveState.COMPLETED)

    def test_restart_does_not_begin_the_move_anew(self) -> None:
        """Guard against a good version that misses its time for a restart."""
        self.answers("v2", 20)
        restarted = VersionMove(ORDER, 11.0, CanaryBound(CANARY_SHARE))
        restarted.add_reports([self.move.report("d1", 11.0)], 11.0)
        self.assertEqual(restarted.due_state(11.0), MoveState.COMPLETED)

    def test_choice_of_leaves(self) -> None:
        old, new = leaf("1", "v1"), leaf("2", "v2")
        both = [old, new]
        self.assertEqual(self.move.select_leaves(both, 0.0, 1.0), [new])
        self.assertEqual(self.move.select_leaves(both, 0.5, 1.0), [old])
        self.assertEqual(self.move.select_leaves([old], 0.0, 1.0), [old])
        self.assertEqual(self.move.select_leaves([new], 0.5, 1.0), [])
        self.move.state = MoveState.ROLLED_BACK
        self.assertEqual(self.move.select_leaves([new], 0.0, 1.0), [])
        self.move.state = MoveState.COMPLETED
        self.assertEqual(self.move.select_leaves(both, 0.9, 1.0), [new])


class MoveRegistryTest(unittest.TestCase):
    """Check which move of a service is in effect."""

    def test_new_target_starts_a_new_move(self) -> None:
        registry = MoveRegistry(CanaryBound(CANARY_SHARE))
        first = registry.put(ORDER, 0.0)
        self.assertIs(registry.put(ORDER, 1.0), first)
        second = registry.put(MoveOrder("s", "v3", DURATION_S), 2.0)
        self.assertIsNot(second, first)
        self.assertIs(registry.find("s"), second)

    def test_older_order_changes_nothing(self) -> None:
        """Guard against a stale read that replaces a newer order (EXPOSURE)."""
        registry = MoveRegistry(CanaryBound(CANARY_SHARE))
        move = registry.put(MoveOrder("s", "v3", DURATION_S, revision=7), 0.0)
        registry.put(MoveOrder("s", "v2", DURATION_S, revision=5), 1.0)
        registry.put(
            MoveOrder("s", "v3", DURATION_S, MoveState.ROLLED_BACK, revision=6), 1.0
        )
        registry.remove("s", 6)
        self.assertIs(registry.find("s"), move)
        self.assertEqual(move.state, MoveState.RUNNING)

    def test_removed_order(self) -> None:
        """Guard against a bad version that returns when its order is deleted."""
        registry = MoveRegistry(CanaryBound(CANARY_SHARE))
        registry.put(ORDER, 0.0)
        registry.remove("s", 1)
        self.assertIsNone(registry.find("s"))
        registry.put(MoveOrder("s", "v2", DURATION_S, MoveState.ROLLED_BACK), 0.0)
        registry.remove("s", 1)
        self.assertEqual([move.state for move in registry.all()], ["rolled_back"])
