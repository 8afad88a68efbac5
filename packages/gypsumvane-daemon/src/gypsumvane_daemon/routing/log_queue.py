"""JSON log lines on standard output that never block the event loop."""

from __future__ import annotations

import json
import logging
import queue
import sys
from logging.handlers import QueueHandler
from logging.handlers import QueueListener
from typing import Any

# Lines that wait while the reader of standard output is slow; later ones are
# dropped. About 1 MB.
QUEUE_LINES_MAX = 4000

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonLineFormatter(logging.Formatter):
    """Write a record and its extra fields as one JSON object.

    The formatter of python-json-logger takes 20 ms to import, which is lost
    service at each restart.
    """

    def __init__(self, daemon_name: str) -> None:
        super().__init__()
        self._daemon_name = daemon_name

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        fields: dict[str, Any] = {
            "time_unix_s": round(record.created, 3),
            "level": record.levelname,
            "daemon": self._daemon_name,
            "logger": record.name,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                fields[name] = value
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


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

    def __init__(self, daemon_name: str, *, level: int = logging.INFO) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES_MAX)
        self._handler = _BoundedHandler(lines)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(JsonLineFormatter(daemon_name))
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
