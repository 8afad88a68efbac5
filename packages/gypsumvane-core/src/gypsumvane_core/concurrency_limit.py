"""Adaptive limit of concurrent calls to one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# The spacing is halved at each step of growth and set to zero at this fraction of
# the cold spacing, so that warming up takes a bounded number of steps.
SPACING_STEPS = 8


class ConcurrencyLimit:
    """Start at the limit of a cold upstream and grow with good answers."""

    def __init__(self, policy: Policy, slots: int) -> None:
        self._policy = policy
        self._slots = slots
        self.limit = 1
        self.spacing_s = 0.0
        self._good = 0
        self.reset_to_cold()

    @property
    def full(self) -> bool:
        """Return whether the limit equals the slots and calls are not spaced."""
        return self.limit >= self._slots and self.spacing_s == 0.0

    def configure(self, policy: Policy, slots: int) -> None:
        """Apply changed bounds; they may lower the limit but never raise it."""
        self._policy = policy
        self._slots = slots
        self.limit = min(self.limit, slots)

    def reset_to_cold(self) -> None:
        """Reset limit and spacing to those of a cold upstream."""
        self.limit = min(self._policy.cold_concurrency, self._slots)
        self.spacing_s = self._policy.cold_spacing_ms / 1000
        self._good = 0

    def reset_progress(self) -> None:
        """Restart the count of good answers towards the next step."""
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
