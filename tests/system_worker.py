"""Run the tests of one class or folder and write the result as JSON."""

from __future__ import annotations

import json
import sys
import unittest
from pathlib import Path


def load(name: str) -> unittest.TestSuite:
    """Return the tests of a class, of a folder, or of a pattern in a folder."""
    loader = unittest.defaultTestLoader
    if Path(name).is_dir():
        return loader.discover(name, top_level_dir=name)
    folder, slash, pattern = name.rpartition("/")
    if slash:
        return loader.discover(folder, pattern=pattern, top_level_dir=folder)
    return loader.loadTestsFromName(name)


def main(name: str, result_path: str) -> int:
    """Run one class or folder; its output goes to standard error."""
    suite = load(name)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    values = {
        "tests": result.testsRun,
        "failed": sorted({test.id() for test, _ in result.failures + result.errors}),
        "skipped": len(result.skipped),
    }
    Path(result_path).write_text(json.dumps(values), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
