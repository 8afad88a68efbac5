"""When the parts at hand are an answer."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the caller's objective that is not spent here: 6 ms each for looking an
# address up, for opening a connection and for the way in and back, and 8 ms for
# merging and late timers.
DELIVERY_MARGIN_S = 0.026


@dataclass(frozen=True, slots=True)
class CoveragePolicy:
    """Decide between a partial answer now and a complete one later."""

    services: int
    min_share: float
    # Time from arrival at which the answer is due; None without an objective.
    objective_s: float | None

    def sufficient(self, parts: int) -> bool:
        """Return whether the parts make a success."""
        return parts > 0 and parts >= self.min_share * self.services - 1e-9

    @property
    def partial_after_s(self) -> float | None:
        """Return the age of the request at which a partial answer is given."""
        if self.objective_s is None:
            return None
        return max(self.objective_s - DELIVERY_MARGIN_S, self.objective_s / 2)

    def should_answer(self, parts: int, *, pending: int, age_s: float) -> bool:
        """Return whether to answer with the parts at hand."""
        if pending == 0:
            return True
        after_s = self.partial_after_s
        if after_s is None or age_s < after_s:
            return False
        return self.sufficient(parts)
