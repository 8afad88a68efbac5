"""Usual time between the admission of a request and its answer."""

from __future__ import annotations

MEAN_WEIGHT = 0.05
DEVIATION_WEIGHT = 0.1
# The estimator of TCP's retransmission timer uses 4; 2 covers about 95 of 100
# requests and wastes less of the time left.
DEVIATIONS = 2.0
# Without a new sample the estimate halves in this time, or in its own length
# when that is more. Otherwise an estimate above the deadline would refuse every
# request and never be corrected.
HALF_LIFE_S = 0.25


class RunTimeEstimator:
    """Estimate how long a request takes."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._sampled_s = 0.0

    def add(self, took_s: float, now_s: float) -> None:
        """Take over the time of one answer."""
        self._sampled_s = now_s
        if self._mean_s == 0.0:
            self._mean_s = took_s
            self._deviation_s = took_s / 4
            return
        error_s = took_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def mean_s(self, now_s: float) -> float:
        """Return the mean time."""
        return self._mean_s * self._freshness(now_s)

    def upper_estimate_s(self, now_s: float) -> float:
        """Return the time in which nearly all requests end."""
        most_s = self._mean_s + DEVIATIONS * self._deviation_s
        return most_s * self._freshness(now_s)

    def _freshness(self, now_s: float) -> float:
        halvings = (now_s - self._sampled_s) / max(HALF_LIFE_S, self._mean_s)
        return float(0.5**halvings) if halvings > 1.0 else 1.0
