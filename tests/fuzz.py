"""Run the stateful tests with consecutive seeds for a given time."""

from __future__ import annotations

import argparse
import importlib
import sys
import time
import unittest
from pathlib import Path
from typing import Any

import hypothesis.core
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine

ROOT = Path(__file__).resolve().parent.parent


def stateful_cases() -> list[type[Any]]:
    """Return the test case of each state machine in the tests of the packages."""
    cases = []
    for path in sorted(ROOT.glob("packages/*/tests/test_*.py")):
        if RuleBasedStateMachine.__name__ not in path.read_text(encoding="utf-8"):
            continue
        sys.path.insert(0, str(path.parent))
        module = importlib.import_module(path.stem)
        cases += [
            value.TestCase
            for value in vars(module).values()
            if isinstance(value, type)
            and issubclass(value, RuleBasedStateMachine)
            and value is not RuleBasedStateMachine
        ]
    return cases


def run_once(cases: list[type[Any]], seed: int) -> bool:
    """Run every case with one seed and return whether all passed."""
    hypothesis.core.global_force_seed = seed
    suite = unittest.TestSuite()
    for case in cases:
        case.settings = settings(
            case.settings, derandomize=False, database=None, deadline=None
        )
        suite.addTest(unittest.defaultTestLoader.loadTestsFromTestCase(case))
    return unittest.TextTestRunner(verbosity=1).run(suite).wasSuccessful()


def main() -> int:
    """Run rounds with consecutive seeds; the first failure ends the run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    cases = stateful_cases()
    print(f"{len(cases)} state machines: {', '.join(c.__name__ for c in cases)}")
    end_s = time.monotonic() + arguments.seconds
    seed = arguments.seed
    while time.monotonic() < end_s:
        print(f"seed {seed}", flush=True)
        if not run_once(cases, seed):
            print(f"failed with --seed {seed}")
            return 1
        seed += 1
    print(f"{seed - arguments.seed} rounds passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
