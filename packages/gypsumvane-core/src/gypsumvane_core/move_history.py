"""Evidence of one route over time, as steps that form separate strata."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.move_comparison import BAD_STEPS_MIN
from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.move_comparison import is_nearly_always_bad
from gypsumvane_core.move_comparison import is_worse

FINE_STEPS_MAX = 64
MERGED_STEPS = 16
COARSE_STEPS_MAX = 256
# Numbers of recent steps to compare. Short windows detect a version that turns bad
# late, the whole history one that is rarely bad.
WINDOWS = (4, 16, FINE_STEPS_MAX)
# Numbers of steps since a fault may have begun. Each is tried, because good answers
# from before the fault would hide it.
FAULT_WINDOWS = range(BAD_STEPS_MIN, 2 * BAD_STEPS_MIN + 1)


@dataclass(slots=True)
class MoveHistory:
    """Hold recent steps individually and older ones merged."""

    _fine: deque[Stratum] = field(default_factory=deque)
    _coarse: deque[Stratum] = field(
        default_factory=lambda: deque(maxlen=COARSE_STEPS_MAX)
    )

    def add(self, stratum: Stratum) -> None:
        """Add the counts of one step; empty steps are ignored."""
        if stratum.empty:
            return
        self._fine.append(stratum)
        if len(self._fine) > FINE_STEPS_MAX + MERGED_STEPS:
            merged = Stratum()
            for _ in range(MERGED_STEPS):
                merged = merged.plus(self._fine.popleft())
            self._coarse.append(merged)

    def is_worse(self, *, margin: float) -> bool:
        """Return whether the new version is worse in any window."""
        if not self._fine or not self._fine[-1].new_bad:
            # Only another bad answer can change the result.
            return False
        fine = list(self._fine)
        windows = [fine[-size:] for size in WINDOWS if size <= len(fine)]
        windows.append([*self._coarse, *fine])
        if any(is_worse(window, margin=margin) for window in windows):
            return True
        return any(
            is_nearly_always_bad(fine[-size:], margin=margin)
            for size in FAULT_WINDOWS
            if size <= len(fine)
        )
