"""Decision between a complete and a partial answer."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the caller's latency objective that is spent outside of the wait for leaves:
# 6 ms each for the address lookup, for opening a connection and for the network
# round trip, and 8 ms for merging and late timers.
DELIVERY_MARGIN_S = 0.026


@dataclass(frozen=True, slots=True)
class CoveragePolicy:
    """Decide whether to answer with some parts missing or to keep waiting."""

    # Number of services that the request is sent to.
    services: int
    # Least share of them that must answer for the request to succeed.
    min_share: float
    # Latency objective, counted from the arrival of the request; None if unset.
    latency_objective_s: float | None

    def sufficient(self, parts: int) -> bool:
        """Return whether this many parts make the request succeed."""
        # The tolerance is for rounding errors in the product.
        return parts > 0 and parts >= self.min_share * self.services - 1e-9

    def reachable(self, parts: int, *, pending: int) -> bool:
        """Return whether the request can still succeed with the pending services.

        Load: all leaves of several services are gone, or fail at once. Waiting for
        the other services would only hold the caller until its deadline.
        """
        return self.sufficient(parts + pending)

    @property
    def partial_after_s(self) -> float | None:
        """Return the request age from which a partial answer is acceptable."""
        if self.latency_objective_s is None:
            return None
        return max(
            self.latency_objective_s - DELIVERY_MARGIN_S, self.latency_objective_s / 2
        )

    def should_answer(self, parts: int, *, pending: int, age_s: float) -> bool:
        """Return whether to answer with the parts received so far."""
        if pending == 0:
            return True
        after_s = self.partial_after_s
        if after_s is None or age_s < after_s:
            return False
        return self.sufficient(parts)
