"""Budget for retries and hedges, the sends beyond the first of a request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Share of the fleet's allowance that is used, because the shares of all daemons are
# inexact while daemons start or leave.
ALLOWANCE_USED_SHARE = 0.8
# Share of a window's fixed allowance that may be used at once. The same amount is
# refilled over the window.
BURST_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Define the extra sends that a service accepts from all daemons."""

    # Extra sends per request.
    ratio: float
    # Fixed number of extra sends per window on top.
    slack: float
    window_s: float


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float


@dataclass(slots=True)
class RetryBudget:
    """Token buckets for one daemon's share of the allowance of each service."""

    allowance: RetryAllowance
    # Share of the fixed allowance that this daemon may use.
    share: float = 1.0
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def add_request(self, service: str, now_s: float) -> None:
        """Add to the budget for a request; its first send costs nothing."""
        bucket = self._fill(service, now_s)
        added = self.allowance.ratio * ALLOWANCE_USED_SHARE
        bucket.tokens = min(self._burst() + 1.0, bucket.tokens + added)

    def take(self, service: str, now_s: float) -> bool:
        """Take one extra send from the budget and return whether one was left."""
        bucket = self._fill(service, now_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _burst(self) -> float:
        """Return the part of the fixed allowance that may be used at once."""
        slack = self.allowance.slack * ALLOWANCE_USED_SHARE * self.share
        return slack * BURST_SHARE

    def _fill(self, service: str, now_s: float) -> _Bucket:
        """Return the bucket of a service, refilled up to now."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(self._burst(), now_s)
            return bucket
        elapsed_s = max(0.0, now_s - bucket.filled_s)
        bucket.filled_s = now_s
        rate_per_s = self._burst() / self.allowance.window_s
        # The burst alone may be less than one send.
        limit = self._burst() + 1.0
        bucket.tokens = min(limit, bucket.tokens + elapsed_s * rate_per_s)
        return bucket
