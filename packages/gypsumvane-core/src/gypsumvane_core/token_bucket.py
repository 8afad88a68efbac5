"""Token bucket for rate limits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Limit a rate with a bounded burst; rate 0 means unlimited."""

    rate_per_s: float
    burst: float
    _tokens: float = -1.0
    _updated_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token and return whether one was available."""
        if self.rate_per_s <= 0:
            return True
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        if self._tokens < 0:
            self._tokens = self.burst
        else:
            gained = (now_s - self._updated_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + gained)
        self._updated_s = now_s
