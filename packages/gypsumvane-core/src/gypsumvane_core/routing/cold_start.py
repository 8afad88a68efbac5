"""How many requests a leaf in cold start gets from this daemon."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the bound that is used: what two daemons send at the ends of a second
# may arrive within one.
BOUND_USED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class ColdStartBound:
    """Bound the requests of all daemons to a cold leaf in a second."""

    overshoot_ratio: float = 1.0
    slack: float = 0.0

    def daemon_rate_per_s(self, warmup_per_s: float, share: float) -> float:
        """Return the part of one daemon, in requests a second.

        A daemon with a small share still sends one now and then, or a service
        whose leaves are all cold would get nothing.
        """
        bound = warmup_per_s * self.overshoot_ratio + self.slack
        return max(1.0, bound * BOUND_USED_SHARE * share)
