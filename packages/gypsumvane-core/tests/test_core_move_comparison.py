"""Tests of the statistical comparison of versions, with seeded simulations."""

from __future__ import annotations

import os
import random
import unittest
from math import comb
from math import exp
from math import log

from gypsumvane_core.move_comparison import FAILURE_MARGIN
from gypsumvane_core.move_comparison import SLOW_MARGIN
from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.move_comparison import log_p_value
from gypsumvane_core.move_history import MoveHistory

MOVES = int(os.environ.get("GYPSUMVANE_SIMULATED_MOVES", "60"))
STEPS = 240


def exact_log_p_value(stratum: Stratum) -> float:
    """Return the log of the exact p-value, a hypergeometric tail."""
    n, m = stratum.new_answers, stratum.old_answers
    bad = stratum.new_bad + stratum.old_bad
    tail = sum(
        comb(n, x) * comb(m, bad - x) for x in range(stratum.new_bad, min(n, bad) + 1)
    )
    return log(tail / comb(n + m, bad))


def count_bad(rng: random.Random, answers: int, rate: float) -> int:
    """Draw how many of the answers are bad."""
    return sum(rng.random() < rate for _ in range(answers))


def rejected_at(
    rng: random.Random,
    *,
    answers: int,
    margin: float,
    old_rate: list[float],
    new_rate: list[float],
    share: list[float],
) -> int | None:
    """Simulate a move; return the step that rejects the version, else None."""
    history = MoveHistory()
    for step in range(len(share)):
        new = count_bad(rng, answers, share[step])
        old_bad = count_bad(rng, answers - new, old_rate[step])
        new_bad = count_bad(rng, new, new_rate[step])
        history.add(Stratum(answers - new, old_bad, new, new_bad))
        if history.is_worse(margin=margin):
            return step
    return None


def rising_share(canary: float) -> list[float]:
    """Return a share that stays at the canary and then rises to 1."""
    rise = STEPS - STEPS // 4
    return [canary] * (STEPS // 4) + [
        canary + (1 - canary) * step / rise for step in range(rise)
    ]


class MoveComparisonTest(unittest.TestCase):
    """Check the bound of the p-value and the decisions based on it."""

    def test_bound_is_never_below_the_exact_p_value(self) -> None:
        """Guard against a bound that takes noise for a fault."""
        rng = random.Random(1)
        for _ in range(500):
            new, old = rng.randint(1, 60), rng.randint(1, 200)
            stratum = Stratum(old, rng.randint(0, old), new, rng.randint(0, new))
            self.assertGreaterEqual(
                log_p_value([stratum]) + 1e-9, exact_log_p_value(stratum)
            )

    def test_good_versions_are_never_rejected(self) -> None:
        """Guard against taking back good versions because of noise.

        The rates of both versions change together, also while the share rises.
        """
        rng = random.Random(2)
        condemned = 0
        for number in range(MOVES):
            base = rng.choice([0.0, 0.005, 0.05, 0.1])
            burst = rng.choice([0.0, 0.2, 0.8])
            rates = [burst if rng.random() < 0.05 else base for _ in range(STEPS)]
            found = rejected_at(
                rng,
                answers=rng.choice([2, 20, 100]),
                margin=FAILURE_MARGIN if number % 2 else SLOW_MARGIN,
                old_rate=rates,
                new_rate=rates,
                share=rising_share(rng.choice([0.02, 0.1])),
            )
            condemned += found is not None
        self.assertEqual(condemned, 0, f"of {MOVES}")

    def test_load_late_in_the_move_is_no_fault(self) -> None:
        """Guard against comparing early old answers with late new ones."""
        rates = [0.0] * (STEPS // 2) + [0.5] * (STEPS - STEPS // 2)
        for seed in range(5):
            found = rejected_at(
                random.Random(seed),
                answers=100,
                margin=FAILURE_MARGIN,
                old_rate=rates,
                new_rate=rates,
                share=rising_share(0.02),
            )
            self.assertIsNone(found)

    def test_bad_versions_are_rejected(self) -> None:
        """Guard against a bad version that is not rejected."""
        shares = rising_share(0.02)
        cases = {
            "at once": (0, 0.8),
            "late": (STEPS // 2, 0.8),
            "under full load": (STEPS - 12, 0.8),
            "in part": (0, 0.2),
        }
        for name, (begin, rate) in cases.items():
            with self.subTest(name):
                new_rate = [0.01] * begin + [rate] * (STEPS - begin)
                found = rejected_at(
                    random.Random(3),
                    answers=100,
                    margin=FAILURE_MARGIN,
                    old_rate=[0.01] * STEPS,
                    new_rate=new_rate,
                    share=shares,
                )
                self.assertIsNotNone(found)
                self.assertGreaterEqual(found or 0, begin)

    def test_version_that_always_fails_is_rejected_soon(self) -> None:
        """Guard against the exclusion of stalls dropping most canary answers."""
        history = MoveHistory()
        for _ in range(20):
            history.add(Stratum(18, 0, 2, 0))
        steps = 0
        while not history.is_worse(margin=FAILURE_MARGIN):
            steps += 1
            self.assertLess(steps, 6, "more than 1.25 s at 8 canary answers a second")
            history.add(Stratum(18, 0, 2, 2))

    def test_stall_of_a_new_leaf_is_no_fault(self) -> None:
        """Guard against rejecting a good version for a stall of two steps."""
        history = MoveHistory()
        for step in range(60):
            bad = 6 if step in (30, 31) else 0
            history.add(Stratum(60, 0, 6, bad))
            self.assertFalse(history.is_worse(margin=FAILURE_MARGIN), step)

    def test_p_value_of_few_failing_canary_answers(self) -> None:
        """Guard against a rejection by two failures, which may be chance."""
        quiet = Stratum(98, 0, 2, 0)
        failing = Stratum(98, 0, 1, 1)
        self.assertGreater(log_p_value([quiet, failing, failing]), log(1e-8))
        self.assertLess(exp(log_p_value([quiet] + [failing] * 6)), 1e-8)
