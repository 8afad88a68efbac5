"""Requests that wait unread while the process is paused."""

from __future__ import annotations

import unittest

from gypsumvane_core.routing.pause_detector import BACKLOG_S
from gypsumvane_core.routing.pause_detector import PAUSE_MIN_S
from gypsumvane_core.routing.pause_detector import TICK_INTERVAL_S
from gypsumvane_core.routing.pause_detector import PauseDetector


class PauseDetectorTest(unittest.TestCase):
    """Play ticks, a pause and requests after it."""

    def setUp(self) -> None:
        self.detector = PauseDetector(100.0)
        for number in range(1, 5):
            self.detector.tick(100.0 + number * TICK_INTERVAL_S)
        self.paused_s = 100.0 + 4 * TICK_INTERVAL_S

    def test_requests_after_a_pause_may_have_waited(self) -> None:
        """Guard against work for callers that left during a pause.

        A request is read before the late tick and others shortly after it.
        """
        resumed_s = self.paused_s + 4.0
        self.assertAlmostEqual(self.detector.waited_s(resumed_s), 4.0)
        self.detector.tick(resumed_s + 0.001)
        self.assertAlmostEqual(self.detector.waited_s(resumed_s + 0.05), 4.0)
        self.assertEqual(self.detector.waited_s(resumed_s + BACKLOG_S + 0.01), 0.0)

    def test_timer_that_is_due_before_the_late_tick(self) -> None:
        """Guard against acting on what was known before a pause (EXPOSURE)."""
        self.assertEqual(self.detector.running_since_s(self.paused_s), 100.0)
        resumed_s = self.paused_s + 2.2
        self.assertEqual(self.detector.running_since_s(resumed_s), resumed_s)
        self.detector.tick(resumed_s + 0.5)
        self.assertEqual(self.detector.running_since_s(resumed_s + 0.6), resumed_s)

    def test_late_ticks_are_no_pause(self) -> None:
        """Guard against refusals by a daemon that is only busy."""
        now_s = self.paused_s
        for _ in range(20):
            now_s += PAUSE_MIN_S - 0.01
            self.assertEqual(self.detector.waited_s(now_s), 0.0)
