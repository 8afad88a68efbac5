"""The number of calls that an upstream is trusted to bear at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# The spacing is halved at each step of growth and dropped at this fraction of
# the cold spacing, so that growth takes a bounded number of steps.
SPACING_STEPS = 8


class ConcurrencyLimit:
    """Start at what a cold upstream bears and grow with good answers."""

    def __init__(self, policy: Policy, slots: int) -> None:
        self._policy = policy
        self._slots = slots
        self.limit = 1
        self.spacing_s = 0.0
        self._good = 0
        self.reset_to_cold()

    @property
    def full(self) -> bool:
        """Return whether the limit has reached the slots, without spacing."""
        return self.limit >= self._slots and self.spacing_s == 0.0

    def configure(self, policy: Policy, slots: int) -> None:
        """Take over changed bounds; they lower the limit but never raise it."""
        self._policy = policy
        self._slots = slots
        self.limit = min(self.limit, slots)

    def reset_to_cold(self) -> None:
        """Fall to what a cold upstream bears."""
        self.limit = min(self._policy.cold_concurrency, self._slots)
        self.spacing_s = self._policy.cold_spacing_ms / 1000
        self._good = 0

    def reset_progress(self) -> None:
        """Count good answers from zero again."""
        self._good = 0

    def on_good_answer(self) -> bool:
        """Count a good answer and return whether the limit grew."""
        if self.full:
            return False
        self._good += 1
        if self._good < self._policy.warm_good_answers:
            return False
        self._good = 0
        self.limit = min(self._slots, self.limit + max(1, self.limit // 2))
        self.spacing_s /= 2
        if self.spacing_s * SPACING_STEPS <= self._policy.cold_spacing_ms / 1000:
            self.spacing_s = 0.0
        return True
