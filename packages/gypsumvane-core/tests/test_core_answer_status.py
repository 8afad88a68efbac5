"""Tests of the kinds of statuses."""

from __future__ import annotations

import unittest

from gypsumvane_core.answer_status import StatusKind
from gypsumvane_core.answer_status import classify_status


class AnswerStatusTest(unittest.TestCase):
    """Check the borders of the kinds."""

    def test_kinds(self) -> None:
        """Guard against a status outside of HTTP that reaches a caller."""
        expected = {
            StatusKind.INVALID: (0, 20, 99, 101, 600, 999, 2000),
            StatusKind.INTERIM: (100, 102, 103, 199),
            StatusKind.FINAL: (200, 204, 304, 421, 500, 599),
        }
        for kind, statuses in expected.items():
            for status in statuses:
                with self.subTest(status):
                    self.assertIs(classify_status(status), kind)


if __name__ == "__main__":
    unittest.main()
