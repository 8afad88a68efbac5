"""JSON log lines on standard output, written outside of the event loop."""

from __future__ import annotations

import logging
import queue
import sys
from logging.handlers import QueueHandler
from logging.handlers import QueueListener
from typing import TYPE_CHECKING

from gypsumvane_daemon.log_setup import json_formatter

if TYPE_CHECKING:
    from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics

# Lines that are queued while the reader of standard output is slow, about 1 MB;
# further lines are dropped.
QUEUE_LINES_MAX = 4000


class _BoundedHandler(QueueHandler):
    """Queue lines without blocking; drop and count them when the queue is full."""

    metrics: RoutingMetrics | None = None

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the listener formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            if self.metrics is not None:
                self.metrics.count("log_lines_dropped", reason="queue_full")


class LogQueue:
    """Write the log lines of the process in a separate thread."""

    def __init__(self, vm_id: str, *, level: int = logging.INFO) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES_MAX)
        self._handler = _BoundedHandler(lines)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(json_formatter(vm_id))
        self._listener = QueueListener(lines, stream)
        self._level = level

    def count_drops(self, metrics: RoutingMetrics) -> None:
        """Count lines that are dropped from now on in the given metrics."""
        self._handler.metrics = metrics

    def start(self) -> None:
        """Install the queue as the only log handler and start to write."""
        self.install()
        self._listener.start()

    def install(self) -> None:
        """Install the queue as the only log handler of the process."""
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(self._level)

    def stop(self) -> None:
        """Write the queued lines and end the thread."""
        self._listener.stop()
