"""Statistical comparison of the new and the old version of an index."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from math import log
from math import log1p
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Natural logarithm of the largest chance at which one comparison condemns a
# version. A move of an hour makes about 10^5 comparisons.
LOG_P_VALUE_MAX = log(1e-8)
# A version is bad only when its rate is this many times the old rate ...
RATE_FACTOR = 2.0
# ... and the difference matters to callers.
FAILURE_MARGIN = 0.02
SLOW_MARGIN = 0.10
# The worst steps are left out, because a leaf that stalls makes many answers of
# one version bad together, which the bound does not allow for.
EXCLUDED_STEPS = 2
# Leaving steps out costs a version that always fails about 6 of 14 canary
# answers. When nearly all answers are bad in this many steps it is no stall of
# two steps; the worst steps then count no more than the worst of the others.
NEARLY_ALWAYS_BAD_SHARE = 0.8
BAD_STEPS_MIN = 4
_TILTS = [0.05 * 1.27**power for power in range(24)]


@dataclass(frozen=True, slots=True)
class Stratum:
    """Count the answers of both versions in one step of time."""

    old_answers: int = 0
    old_bad: int = 0
    new_answers: int = 0
    new_bad: int = 0

    @property
    def empty(self) -> bool:
        """Return whether nothing was counted."""
        return self.old_answers + self.new_answers == 0

    def plus(self, other: Stratum) -> Stratum:
        """Return the sum of two strata."""
        return Stratum(
            self.old_answers + other.old_answers,
            self.old_bad + other.old_bad,
            self.new_answers + other.new_answers,
            self.new_bad + other.new_bad,
        )

    def capped(self, new_bad_max: int) -> Stratum:
        """Return the stratum without the bad new answers above a number."""
        above = max(0, self.new_bad - new_bad_max)
        return Stratum(
            self.old_answers,
            self.old_bad,
            self.new_answers - above,
            self.new_bad - above,
        )

    def excess(self) -> float:
        """Return by how much the new version's bad answers exceed their share."""
        answers = self.old_answers + self.new_answers
        bad = self.old_bad + self.new_bad
        return self.new_bad - bad * self.new_answers / answers

    def log_moment(self, tilt: float) -> float:
        """Bound the log moment of the new version's bad answers.

        When both versions are alike, the bad answers fall on the new version
        like draws without replacement. Hoeffding's bound replaces these by
        draws with replacement; of the four ways to draw the best one counts.
        """
        answers = self.old_answers + self.new_answers
        bad = self.old_bad + self.new_bad
        share = self.new_answers / answers
        rate = bad / answers
        up, down = exp(tilt) - 1, exp(-tilt) - 1
        return min(
            bad * log1p(share * up),
            self.new_answers * log1p(rate * up),
            tilt * bad + self.old_answers * log1p(rate * down),
            tilt * self.new_answers + (answers - bad) * log1p(share * down),
        )


def log_p_value(strata: Sequence[Stratum]) -> float:
    """Bound the log of the chance of so many bad answers of the new version.

    The chance is that of a version no worse than the old one. Each stratum has
    its own rate and share, so rates that change with time and load do not
    count against a version.
    """
    mixed = [s for s in strata if s.new_answers and s.old_answers]
    observed = sum(s.new_bad for s in mixed)
    if not observed:
        return 0.0
    return min(
        0.0,
        *(sum(s.log_moment(t) for s in mixed) - t * observed for t in _TILTS),
    )


def is_worse(strata: Sequence[Stratum], *, margin: float) -> bool:
    """Return whether the new version is certainly and clearly worse."""
    return _is_clearly_worse(_by_excess(strata)[:-EXCLUDED_STEPS], margin)


def is_nearly_always_bad(strata: Sequence[Stratum], *, margin: float) -> bool:
    """Return whether nearly all answers of the new version are bad for a while."""
    ordered = _by_excess(strata)
    if sum(s.new_bad > 0 for s in ordered) < BAD_STEPS_MIN:
        return False
    new_bad = sum(s.new_bad for s in ordered)
    if new_bad < NEARLY_ALWAYS_BAD_SHARE * sum(s.new_answers for s in ordered):
        return False
    others, worst = ordered[:-EXCLUDED_STEPS], ordered[-EXCLUDED_STEPS:]
    capped = [s.capped(others[-1].new_bad) for s in worst]
    return _is_clearly_worse([*others, *(s for s in capped if s.new_answers)], margin)


def _by_excess(strata: Sequence[Stratum]) -> list[Stratum]:
    mixed = [s for s in strata if s.new_answers and s.old_answers]
    return sorted(mixed, key=Stratum.excess)


def _is_clearly_worse(mixed: Sequence[Stratum], margin: float) -> bool:
    if not mixed:
        return False
    total = Stratum()
    for stratum in mixed:
        total = total.plus(stratum)
    old_rate = total.old_bad / total.old_answers
    new_rate = total.new_bad / total.new_answers
    if new_rate < RATE_FACTOR * old_rate + margin:
        return False
    return log_p_value(mixed) < LOG_P_VALUE_MAX
