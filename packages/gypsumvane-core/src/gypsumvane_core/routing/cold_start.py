"""Rate limit for requests from one daemon to a leaf in cold start."""

from __future__ import annotations

from dataclasses import dataclass

# Share of the bound that daemons plan with: requests that are sent more than a
# second apart may still arrive at the leaf within one second.
BOUND_USED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class ColdStartBound:
    """Bound the requests per second that all daemons send to a cold leaf."""

    # Tolerance beyond the configured rate: a factor and requests per second on top.
    overshoot_ratio: float = 1.0
    slack: float = 0.0

    def daemon_rate_per_s(self, warmup_per_s: float, share: float) -> float:
        """Return the requests per second that one daemon may send to a cold leaf.

        share is the daemon's part of the limits that the fleet has in common.
        The rate is at least one request per second; otherwise a service whose
        leaves are all cold would get no requests from a daemon with a small share.
        """
        bound = warmup_per_s * self.overshoot_ratio + self.slack
        return max(1.0, bound * BOUND_USED_SHARE * share)
