"""Tests of log lines that wait for a slow reader of standard output."""

from __future__ import annotations

import logging
import unittest

from gypsumvane_daemon.routing.log_queue import QUEUE_LINES_MAX
from gypsumvane_daemon.routing.log_queue import LogQueue
from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics


class LogQueueTest(unittest.TestCase):
    """Check what happens when nobody reads the lines."""

    def test_lines_beyond_the_queue_are_dropped_and_counted(self) -> None:
        """Guard against lost lines that no metric shows, and against blocking."""
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        metrics = RoutingMetrics()
        log = LogQueue("vm-1")
        log.count_drops(metrics)
        try:
            # The thread that writes is not started, as if its write blocked.
            log.install()
            for number in range(QUEUE_LINES_MAX + 3):
                logging.getLogger("test").info("line %d", number)
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
        expected = b'gypsumvane_log_lines_dropped_total{reason="queue_full"} 3.0'
        self.assertIn(expected, metrics.render())
