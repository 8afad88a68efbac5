"""Detection of pauses of the own process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Interval at which the process records that it runs.
TICK_INTERVAL_S = 0.05
# Time without a tick that counts as a pause. Ticks are late by some milliseconds under
# load.
PAUSE_MIN_S = 0.3
# Time without a tick after which reports of peers may be outdated, although they were
# recent when the process last ran.
LONG_PAUSE_S = 1.0
# Time after a pause for which arriving requests may have waited through it, because the
# bytes that have queued up are read over several iterations of the event loop.
BACKLOG_S = 0.1


@dataclass(slots=True)
class PauseDetector:
    """Tell since when the process runs, and how long a request may have waited unread.

    Load: a VM freezes for seconds, and requests queue up in its sockets. Their time
    starts when they are read, but their callers may have left long before. Timers are
    due at once, before anything that peers have sent meanwhile is read.
    """

    _last_tick_s: float
    # Length and end of the last pause.
    _pause_s: float = 0.0
    _resumed_s: float = float("-inf")
    # End of the last long pause, or the start of the process.
    _running_since_s: float = field(init=False)

    def __post_init__(self) -> None:
        self._running_since_s = self._last_tick_s

    def tick(self, now_s: float) -> None:
        """Record that the process runs."""
        gap_s = now_s - self._last_tick_s
        if gap_s >= PAUSE_MIN_S:
            self._pause_s = gap_s
            self._resumed_s = now_s
        if gap_s >= LONG_PAUSE_S:
            self._running_since_s = now_s
        self._last_tick_s = now_s

    def running_since_s(self, now_s: float) -> float:
        """Return since when the process has run without a long pause."""
        # A timer may be due before the late tick.
        self.tick(now_s)
        return self._running_since_s

    def waited_s(self, now_s: float) -> float:
        """Return how long a request that is read now may have waited unread."""
        # The event loop may read requests before the late tick.
        self.tick(now_s)
        if now_s - self._resumed_s < BACKLOG_S:
            return self._pause_s
        return 0.0
