"""Run the tests of all packages and of the system and print a summary line."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.system_run import class_names  # noqa: E402
from tests.system_run import run_names  # noqa: E402

KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
CROWD_PATTERN = "crowd_*.py"


def known_failures() -> set[str]:
    """Return the identifiers of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def package_folders() -> list[str]:
    """Return the test folder of each package, relative to the root."""
    return [
        start.relative_to(ROOT).as_posix()
        for start in [*sorted(ROOT.glob("packages/*/tests")), ROOT / "platform/tests"]
    ]


def load_system_suite() -> unittest.TestSuite:
    """Return the system tests."""
    start = str(ROOT / "tests")
    return unittest.TestLoader().discover(start, top_level_dir=str(ROOT))


def crowd_names() -> list[str]:
    """Return what holds tests that have to run alone: folders with a pattern, classes.

    They measure the memory of processes under crowds of clients.
    """
    folders = [
        f"{folder}/{CROWD_PATTERN}"
        for folder in package_folders()
        if any((ROOT / folder).glob(CROWD_PATTERN))
    ]
    suite = unittest.TestLoader().discover(
        str(ROOT / "tests"), pattern=CROWD_PATTERN, top_level_dir=str(ROOT)
    )
    return [*folders, *class_names(suite)]


def main() -> int:
    """Run all tests; known failures are printed but do not fail the run."""
    known = known_failures()
    runs = [
        run_names(package_folders()),
        run_names(class_names(load_system_suite())),
        run_names(crowd_names(), workers=1),
    ]
    tests = sum(run.tests for run in runs)
    failures = [name for run in runs for name in run.failed]
    skipped = sum(run.skipped for run in runs)
    unexpected = [name for name in failures if name not in known]
    for name in failures:
        label = "known failure" if name in known else "failure"
        print(f"{label}: {name}")
    passed = tests - len(failures) - skipped
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    empty = any(run.tests == 0 for run in runs)
    return 1 if unexpected or empty else 0


if __name__ == "__main__":
    sys.exit(main())
