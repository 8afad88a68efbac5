"""Deadline of a non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock

# Part of the deadline reserved for the run and its answer when a request waits
# before it runs.
ANSWER_RESERVE_S = 0.15


@dataclass(frozen=True, slots=True)
class Deadline:
    """Hold a deadline on the monotonic clock and on the wall clock.

    The monotonic clock may stop while a VM is suspended. An attempt that resumes
    after that must not send anything, because its claim may have expired.
    """

    at_s: float
    at_unix_s: float

    @classmethod
    def after(cls, clock: Clock, left_s: float) -> Deadline:
        """Return the deadline ``left_s`` seconds from now."""
        return cls(clock.monotonic_s() + left_s, clock.unix_s() + left_s)

    def with_answer_reserve(self, clock: Clock) -> Deadline:
        """Return the deadline of waits before the run, earlier by a reserve.

        The reserve is ANSWER_RESERVE_S, but at most a quarter of the time left.
        """
        margin_s = min(ANSWER_RESERVE_S, self.left_s(clock) / 4)
        return Deadline(self.at_s - margin_s, self.at_unix_s - margin_s)

    def left_s(self, clock: Clock) -> float:
        """Return the smaller of the times left on both clocks, at least zero."""
        left_s = min(self.at_s - clock.monotonic_s(), self.at_unix_s - clock.unix_s())
        return max(0.0, left_s)

    def left_ms(self, clock: Clock) -> int:
        """Return the time left in whole milliseconds."""
        return int(self.left_s(clock) * 1000)
