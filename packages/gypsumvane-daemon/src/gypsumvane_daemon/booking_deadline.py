"""The time by which a request must be answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock

# Time kept for the run and the way back when a request waits before its run.
ANSWER_RESERVE_S = 0.15


@dataclass(frozen=True, slots=True)
class Deadline:
    """Hold a deadline on both clocks.

    The monotonic clock may stand still while a VM is suspended; a try that
    resumes then must not send anything, because its claim may have expired.
    """

    at_s: float
    at_unix_s: float

    @classmethod
    def after(cls, clock: Clock, left_s: float) -> Deadline:
        """Return the deadline that is so far away."""
        return cls(clock.monotonic_s() + left_s, clock.unix_s() + left_s)

    def with_answer_reserve(self, clock: Clock) -> Deadline:
        """Return the time by which a wait must end so that an answer is in time."""
        margin_s = min(ANSWER_RESERVE_S, self.left_s(clock) / 4)
        return Deadline(self.at_s - margin_s, self.at_unix_s - margin_s)

    def left_s(self, clock: Clock) -> float:
        """Return the time left, never below zero."""
        left_s = min(self.at_s - clock.monotonic_s(), self.at_unix_s - clock.unix_s())
        return max(0.0, left_s)

    def left_ms(self, clock: Clock) -> int:
        """Return the time left in whole milliseconds."""
        return int(self.left_s(clock) * 1000)
