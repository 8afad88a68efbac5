"""JSON log lines on standard output that never block the event loop."""

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

# Lines that wait while the reader of standard output is slow; later ones are
# dropped. About 1 MB.
QUEUE_LINES_MAX = 4000


class _BoundedHandler(QueueHandler):
    """Drop lines when the queue is full and count them."""

    metrics: RoutingMetrics | None = None

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the listener formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            if self.metrics is not None:
                self.metrics.count("log_lines_dropped", reason="queue_full")


class LogQueue:
    """Write log lines in a thread of their own."""

    def __init__(self, vm_id: str, *, level: int = logging.INFO) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES_MAX)
        self._handler = _BoundedHandler(lines)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(json_formatter(vm_id))
        self._listener = QueueListener(lines, stream)
        self._level = level

    def count_drops(self, metrics: RoutingMetrics) -> None:
        """Count the lines that are dropped from now on."""
        self._handler.metrics = metrics

    def start(self) -> None:
        """Take over all log lines of the process and write them."""
        self.install()
        self._listener.start()

    def install(self) -> None:
        """Take over all log lines of the process."""
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(self._level)

    def stop(self) -> None:
        """Write what waits and end the thread."""
        self._listener.stop()
