"""Tests of the limit of requests in flight at a root."""

from __future__ import annotations

import unittest

from gypsumvane_core.in_flight_limit import INITIAL_LIMIT
from gypsumvane_core.in_flight_limit import UNUSED_MIN
from gypsumvane_core.in_flight_limit import InFlightLimit


def finish(
    limit: InFlightLimit, *, run_share: float, in_time: bool = True, peak: int = 1
) -> None:
    """Finish one window of identical requests."""
    limit.record_in_flight(peak)
    for _ in range(max(20, limit.limit)):
        limit.on_finish(
            in_time=in_time, run_share=run_share, generation=limit.generation
        )


class InFlightLimitTest(unittest.TestCase):
    """Check when the limit grows and decreases."""

    def test_unused_limit_decreases_to_what_is_used(self) -> None:
        """Guard against an unused high limit that admits a sudden overload entirely."""
        limit = InFlightLimit(256)
        finish(limit, run_share=0.1, peak=10)
        self.assertEqual(limit.limit, 20)
        finish(limit, run_share=0.1, peak=1)
        self.assertEqual(limit.limit, int(UNUSED_MIN))

    def test_decrease_is_in_proportion_to_the_time_in_flight(self) -> None:
        """Guard against many windows of late answers before the limit is low enough."""
        limit = InFlightLimit(256)
        finish(limit, run_share=1.0, in_time=False, peak=INITIAL_LIMIT)
        self.assertLessEqual(limit.limit, 0.5 * INITIAL_LIMIT)

    def test_partial_answers_after_a_short_time_lower_the_limit_little(self) -> None:
        """Guard against a collapse of the limit while the upstreams are fast."""
        limit = InFlightLimit(256)
        finish(limit, run_share=0.1, in_time=False, peak=INITIAL_LIMIT)
        self.assertGreaterEqual(limit.limit, 0.75 * INITIAL_LIMIT)

    def test_full_limit_grows_while_answers_are_fast(self) -> None:
        """Guard against a limit that stays low after a time of low load."""
        limit = InFlightLimit(256)
        finish(limit, run_share=0.1, peak=1)
        before = limit.limit
        limit.record_limit_reached()
        finish(limit, run_share=0.1, peak=before)
        self.assertGreater(limit.limit, before)
