"""Share of traffic that the new version of an index gets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import MoveDocument

# A canary lasts at least this fraction of the move or CANARY_MIN_S, whichever is
# shorter.
CANARY_PART_MIN = 0.1
CANARY_MIN_S = 30.0
# After a late canary the share rises over at least this fraction of the move or
# RISE_MIN_S, whichever is shorter, instead of jumping to 1.
RISE_PART_MIN = 0.2
RISE_MIN_S = 30.0


@dataclass(frozen=True, slots=True)
class MoveSchedule:
    """Compute the share of a running move over time."""

    move: MoveDocument

    @property
    def _length_s(self) -> float:
        return self.move.complete_by_unix_s - self.move.start_unix_s

    def canary_until_unix_s(self) -> float:
        """Return the earliest end of the canary phase."""
        least_s = min(CANARY_MIN_S, CANARY_PART_MIN * self._length_s)
        return self.move.start_unix_s + least_s

    def full_at_unix_s(self, proven_at_unix_s: float) -> float:
        """Return when the share reaches 1."""
        least_s = min(RISE_MIN_S, RISE_PART_MIN * self._length_s)
        return max(self.move.complete_by_unix_s, proven_at_unix_s + least_s)

    def share(self, now_unix_s: float, proven_at_unix_s: float | None) -> float:
        """Return the share of the new version, in [0, 1]."""
        if now_unix_s < self.move.start_unix_s:
            return 0.0
        canary = self.move.canary_share
        if proven_at_unix_s is None or now_unix_s < proven_at_unix_s:
            return canary
        rise_s = self.full_at_unix_s(proven_at_unix_s) - proven_at_unix_s
        part = min(1.0, (now_unix_s - proven_at_unix_s) / rise_s)
        return canary + (1 - canary) * part
