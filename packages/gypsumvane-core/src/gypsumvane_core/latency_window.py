"""Quantiles of recent latencies."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import deque

WINDOW_SAMPLES = 256
# With fewer samples a high quantile is just the maximum of a few answers.
SAMPLES_MIN = 20


class LatencyWindow:
    """Sliding window of samples, also kept in sorted order."""

    def __init__(self, samples_max: int = WINDOW_SAMPLES) -> None:
        self._samples_max = samples_max
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a sample in seconds; a full window drops its oldest one."""
        if len(self._recent) == self._samples_max:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._recent.append(latency_s)
        insort(self._sorted, latency_s)

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, None with too few samples."""
        count = len(self._sorted)
        if count < SAMPLES_MIN:
            return None
        return self._sorted[min(int(count * share), count - 1)]
