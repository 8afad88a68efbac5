"""Estimate of the time between the admission of a request and its answer."""

from __future__ import annotations

MEAN_WEIGHT = 0.05
DEVIATION_WEIGHT = 0.1
# TCP's retransmission timer uses 4 deviations; 2 cover about 95 % of requests and
# waste less of the remaining time.
DEVIATIONS = 2.0
# Without new samples the estimate halves in this time, or in the mean run time if
# that is longer. Otherwise an estimate above the deadline would refuse every request
# and never be corrected.
HALF_LIFE_S = 0.25


class RunTimeEstimator:
    """Estimate the duration of requests from smoothed mean and deviation."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._sampled_s = 0.0

    def add(self, took_s: float, now_s: float) -> None:
        """Add the duration of one answered request."""
        self._sampled_s = now_s
        if self._mean_s == 0.0:
            self._mean_s = took_s
            self._deviation_s = took_s / 4
            return
        error_s = took_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def mean_s(self, now_s: float) -> float:
        """Return the mean duration in seconds."""
        return self._mean_s * self._decay(now_s)

    def upper_estimate_s(self, now_s: float) -> float:
        """Return the duration in seconds within which nearly all requests end."""
        most_s = self._mean_s + DEVIATIONS * self._deviation_s
        return most_s * self._decay(now_s)

    def _decay(self, now_s: float) -> float:
        halvings = (now_s - self._sampled_s) / max(HALF_LIFE_S, self._mean_s)
        return float(0.5**halvings) if halvings > 1.0 else 1.0
