"""Tests of the queue of log lines before standard output."""

from __future__ import annotations

import logging
import unittest

from gypsumvane_daemon.routing.log_queue import QUEUE_LINES_MAX
from gypsumvane_daemon.routing.log_queue import LogQueue
from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics

LOGGER = "gypsumvane_test_log_queue"


class LogQueueTest(unittest.TestCase):
    """Check the queue while no lines are read."""

    def test_lines_beyond_the_queue_are_dropped_and_counted(self) -> None:
        """Guard against lines dropped without a count, and against blocking."""
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        metrics = RoutingMetrics()
        log = LogQueue("vm-1")
        log.count_drops(metrics)
        try:
            # The writing thread is not started, as if its write blocked.
            log.install()
            # Objects that earlier tests left behind write lines when they are freed.
            root.handlers[0].addFilter(logging.Filter(LOGGER))
            for number in range(QUEUE_LINES_MAX + 3):
                logging.getLogger(LOGGER).info("line %d", number)
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
        expected = b'gypsumvane_log_lines_dropped_total{reason="queue_full"} 3.0'
        self.assertIn(expected, metrics.render())
