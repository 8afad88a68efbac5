"""Refusals and the return of refused callers under heavy load."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from gypsumvane_core.routing.coverage import CoveragePolicy
from gypsumvane_core.routing.retry_after import CALLER_WAIT_SHARE
from gypsumvane_core.routing.retry_after import WAIT_MIN_S
from gypsumvane_core.routing.retry_after import RetryAfterPolicy

CALLERS = 400


class ReturnAfterRestartTest(unittest.TestCase):
    """Play the return of callers that all daemons refused while they started."""

    def setUp(self) -> None:
        self.policy = RetryAfterPolicy(random.Random(3))

    def returns(self, ready_s: float, left_s: float, rank: int | None) -> list[float]:
        """Return the times of return of callers that arrive before ready_s."""
        arrivals = [ready_s * number / CALLERS for number in range(CALLERS)]
        return [
            at + self.policy.wait_s(ready_s - at, left_s=left_s, rank=rank)
            for at in arrivals
        ]

    def test_few_callers_are_refused_again(self) -> None:
        """Guard against a second refusal, after which a caller gives up.

        With a constant wait of 0.1 s most callers came back before the start was over.
        """
        returns = self.returns(0.4, left_s=1.5, rank=None)
        again = sum(at < 0.4 for at in returns)
        self.assertEqual(again, 0)
        constant = sum(0.4 * n / CALLERS + 0.1 < 0.4 for n in range(CALLERS))
        self.assertGreater(constant, CALLERS / 2)

    def test_callers_do_not_return_together(self) -> None:
        """Guard against a crowd on daemons that have just started."""
        wait = self.policy.wait_s
        slots = Counter(
            int(wait(0.4, left_s=10.0, rank=None) / 0.02) for _ in range(CALLERS)
        )
        self.assertLess(max(slots.values()), CALLERS / 4)

    def test_urgent_callers_return_first(self) -> None:
        """Guard against urgent requests behind a crowd of others."""
        waits = {
            rank: [self.policy.wait_s(0.4, left_s=10.0, rank=rank) for _ in range(50)]
            for rank in range(3)
        }
        self.assertLess(max(waits[0]), min(waits[1]))
        self.assertLess(max(waits[1]), min(waits[2]))

    def test_wait_stays_within_the_callers_time(self) -> None:
        """Guard against a return that leaves no time for the answer."""
        for left_s in (0.2, 0.6, 1.5):
            for _ in range(50):
                wait_s = self.policy.wait_s(5.0, left_s=left_s, rank=2)
                self.assertLessEqual(
                    wait_s, max(WAIT_MIN_S, left_s * CALLER_WAIT_SHARE)
                )
        self.assertEqual(self.policy.wait_s(1.0, left_s=-1.0, rank=None), WAIT_MIN_S)
        self.assertGreaterEqual(self.policy.wait_s(0.0, left_s=1, rank=0), WAIT_MIN_S)


class HopelessGatherTest(unittest.TestCase):
    """Check when a gathered request can no longer succeed."""

    policy = CoveragePolicy(services=87, min_share=0.95, latency_objective_s=0.187)

    def test_failed_services_end_the_wait(self) -> None:
        """Guard against callers that are held although too many services failed."""
        self.assertTrue(self.policy.reachable(0, pending=87))
        self.assertTrue(self.policy.reachable(0, pending=83))
        self.assertFalse(self.policy.reachable(0, pending=82))
        self.assertTrue(self.policy.reachable(80, pending=3))
        self.assertFalse(self.policy.reachable(80, pending=2))

    def test_enough_parts_stay_an_answer(self) -> None:
        """Guard against the end of a request that already has enough parts."""
        self.assertTrue(self.policy.reachable(83, pending=0))
