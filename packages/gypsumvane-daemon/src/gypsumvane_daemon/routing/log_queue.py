"""JSON log lines on standard output that never block the event loop."""

from __future__ import annotations

import logging
import queue
import sys
from logging.handlers import QueueHandler
from logging.handlers import QueueListener

from gypsumvane_daemon.log_setup import json_formatter

# Lines that wait while the reader of standard output is slow; later ones are
# dropped. About 1 MB.
QUEUE_LINES_MAX = 4000


class _BoundedHandler(QueueHandler):
    """Drop lines when the queue is full and count them."""

    dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the listener formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LogQueue:
    """Write log lines in a thread of their own."""

    def __init__(self, vm_id: str, *, level: int = logging.INFO) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES_MAX)
        self._handler = _BoundedHandler(lines)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(json_formatter(vm_id))
        self._listener = QueueListener(lines, stream)
        self._level = level

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped."""
        return self._handler.dropped

    def start(self) -> None:
        """Take over all log lines of the process."""
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(self._level)
        self._listener.start()

    def stop(self) -> None:
        """Write what waits and end the thread."""
        self._listener.stop()
