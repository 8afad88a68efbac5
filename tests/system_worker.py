"""Run the tests of one system test class and write the result as JSON."""

from __future__ import annotations

import json
import sys
import unittest
from pathlib import Path


def main(class_name: str, result_path: str) -> int:
    """Run one class; its output goes to standard error."""
    suite = unittest.defaultTestLoader.loadTestsFromName(class_name)
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
