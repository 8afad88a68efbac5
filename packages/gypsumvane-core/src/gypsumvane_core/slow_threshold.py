"""Latency threshold above which an answer counts as slow."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

SAMPLES = 256
REFRESH_AFTER = 32
QUANTILE = 0.95
# With nearly constant latencies the quantile alone would be too strict.
MEDIAN_FACTOR = 2.0


@dataclass(slots=True)
class SlowThreshold:
    """Derive the threshold from the latency of the old version on one route."""

    threshold_ms: float = float("inf")
    # Numbers of answers of earlier, rougher thresholds.
    first_refreshes: tuple[int, ...] = ()
    _latencies: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    _added: int = 0

    def add_baseline(self, latency_ms: float) -> None:
        """Add the latency of an answer of the old version."""
        self._latencies.append(latency_ms)
        self._added += 1
        if self._added % REFRESH_AFTER and self._added not in self.first_refreshes:
            return
        ordered = sorted(self._latencies)
        quantile_ms = ordered[int(QUANTILE * (len(ordered) - 1))]
        median_ms = ordered[len(ordered) // 2]
        self.threshold_ms = max(quantile_ms, MEDIAN_FACTOR * median_ms)

    def is_slow(self, latency_ms: float) -> bool:
        """Return whether an answer of either version is slow."""
        return latency_ms > self.threshold_ms
