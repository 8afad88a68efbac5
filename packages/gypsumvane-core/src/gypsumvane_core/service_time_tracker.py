"""Recent and baseline service time of an upstream."""

from __future__ import annotations

# Weight of a new sample in the moving averages: the recent one covers about five
# answers, the baseline about a hundred.
RECENT_WEIGHT = 0.2
BASELINE_WEIGHT = 0.01
# The baseline decreases faster, because the first answers of a cold upstream are
# slower than its normal ones.
BASELINE_FALL_WEIGHT = 0.1
# An answer is slow from this multiple of the baseline, and only if it exceeds the
# baseline by this margin, so that jitter of very short calls does not count.
SLOW_FACTOR = 3.0
SLOW_MARGIN_S = 0.005
# An answer from this multiple of the baseline triggers a status request: about one
# in fifteen normal answers exceeds it, and most answers of a leaf at half speed.
STATUS_CHECK_FACTOR = 1.5


class ServiceTimeTracker:
    """Track the time between sending a call and its answer, in seconds."""

    def __init__(self) -> None:
        self.recent_s = 0.0
        self.baseline_s = 0.0

    def is_slow(self, sample_s: float) -> bool:
        """Return whether an answer took much longer than the baseline."""
        if self.baseline_s == 0.0:
            return False
        threshold_s = max(
            self.baseline_s * SLOW_FACTOR, self.baseline_s + SLOW_MARGIN_S
        )
        return sample_s >= threshold_s

    def warrants_status_check(self, sample_s: float) -> bool:
        """Return whether an answer may indicate a sudden slowdown."""
        return 0.0 < self.baseline_s * STATUS_CHECK_FACTOR <= sample_s

    def add(self, sample_s: float) -> None:
        """Add the service time of one answer."""
        if self.baseline_s == 0.0:
            self.recent_s = self.baseline_s = sample_s
            return
        self.recent_s += RECENT_WEIGHT * (sample_s - self.recent_s)
        falls = sample_s < self.baseline_s
        weight = BASELINE_FALL_WEIGHT if falls else BASELINE_WEIGHT
        self.baseline_s += weight * (sample_s - self.baseline_s)
