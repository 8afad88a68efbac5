"""Statistical comparison of the new and the old version of an index."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from math import log
from math import log1p
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Natural logarithm of the p-value below which one comparison rejects a version. A
# move of one hour makes about 10^5 comparisons.
LOG_SIGNIFICANCE = log(1e-8)
# A version is rejected only if its rate of bad answers is this many times the old
# rate plus a margin, below which the difference does not matter to callers.
RATE_FACTOR = 2.0
FAILURE_MARGIN = 0.02
SLOW_MARGIN = 0.10
# The worst steps are excluded: a stalling leaf makes many answers of one version bad
# at once, while the bound assumes independent answers.
EXCLUDED_STEPS = 2
# For a version that always fails, the exclusion drops about 6 of 14 canary answers.
# If nearly all answers are bad over this many steps, the cause is not a stall of two
# steps; the worst steps then count at most as much as the worst of the others.
NEARLY_ALWAYS_BAD_SHARE = 0.8
BAD_STEPS_MIN = 4
_TILTS = [0.05 * 1.27**power for power in range(24)]


@dataclass(frozen=True, slots=True)
class Stratum:
    """Count the answers of both versions in one time step."""

    old_answers: int = 0
    old_bad: int = 0
    new_answers: int = 0
    new_bad: int = 0

    @property
    def empty(self) -> bool:
        """Return whether nothing was counted."""
        return self.old_answers + self.new_answers == 0

    def plus(self, other: Stratum) -> Stratum:
        """Return the sum of this and another stratum."""
        return Stratum(
            self.old_answers + other.old_answers,
            self.old_bad + other.old_bad,
            self.new_answers + other.new_answers,
            self.new_bad + other.new_bad,
        )

    def capped(self, new_bad_max: int) -> Stratum:
        """Return the stratum with at most this many bad answers of the new version."""
        above = max(0, self.new_bad - new_bad_max)
        return Stratum(
            self.old_answers,
            self.old_bad,
            self.new_answers - above,
            self.new_bad - above,
        )

    def excess(self) -> float:
        """Return the bad answers of the new version above their expected number."""
        answers = self.old_answers + self.new_answers
        bad = self.old_bad + self.new_bad
        return self.new_bad - bad * self.new_answers / answers

    def log_moment(self, tilt: float) -> float:
        """Bound the log moment generating function of the new version's bad answers.

        If both versions are alike, the bad answers of the new version are draws
        without replacement (hypergeometric). By Hoeffding, draws with replacement
        bound their moments; the tightest of four such bounds is returned.
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
    """Return an upper bound of the log p-value of the bad answers (Chernoff bound).

    The null hypothesis is that the new version is no worse than the old one. Each
    stratum has its own rate and share, so rates that change with time and load do
    not count against a version.
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
    """Return whether the new version is significantly and clearly worse."""
    return _is_clearly_worse(_by_excess(strata)[:-EXCLUDED_STEPS], margin)


def is_nearly_always_bad(strata: Sequence[Stratum], *, margin: float) -> bool:
    """Return whether nearly all new answers are bad over several steps."""
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
    return log_p_value(mixed) < LOG_SIGNIFICANCE
