"""Tests of the requests that are taken during a planned stop."""

from __future__ import annotations

import unittest

from gypsumvane_core.routing.stop_schedule import StopSchedule

GRACE_S = 6.0


class StopScheduleTest(unittest.TestCase):
    """Play requests that arrive during the grace of a stop."""

    def setUp(self) -> None:
        self.schedule = StopSchedule(100.0, GRACE_S)

    def accepts(self, now_s: float, latency_s: float, *, idempotent: bool) -> bool:
        """Return whether a request that arrives at a time is taken."""
        return self.schedule.accepts(
            idempotent=idempotent, usual_latency_s=latency_s, now_s=now_s
        )

    def test_late_run_is_refused(self) -> None:
        """Guard against a run that is cut off at the end of the grace (LOST)."""
        self.assertTrue(self.accepts(103.5, 0.5, idempotent=False))
        self.assertFalse(self.accepts(103.5, 0.7, idempotent=False))
        self.assertTrue(self.accepts(103.5, 0.7, idempotent=True))
        self.assertFalse(self.accepts(103.5, 2.0, idempotent=True))

    def test_nothing_is_taken_near_the_end(self) -> None:
        self.assertFalse(self.accepts(103.6, 0.0, idempotent=True))

    def test_each_taken_run_ends_in_time(self) -> None:
        """Guard against a bound that the usual latency exceeds."""
        for step in range(600):
            now_s = 100.0 + step / 100
            for latency_s in (0.05, 0.3, 1.0, 3.0):
                if self.accepts(now_s, latency_s, idempotent=False):
                    self.assertLess(now_s + latency_s, self.schedule.ends_s)


if __name__ == "__main__":
    unittest.main()
