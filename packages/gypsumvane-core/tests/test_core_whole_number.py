"""Tests of the reading of whole numbers in headers."""

from __future__ import annotations

import unittest

from gypsumvane_core.whole_number import parse_whole_number


class WholeNumberTest(unittest.TestCase):
    """Read numbers in headers."""

    def test_unusable_numbers(self) -> None:
        """Guard against digits that int() rejects."""
        self.assertEqual(parse_whole_number(" 12 "), 12)
        for text in ("", "-1", "1.0", "1_0", "²", "٣", "9" * 5000, "x"):
            with self.subTest(text[:5]):
                self.assertIsNone(parse_whole_number(text))


if __name__ == "__main__":
    unittest.main()
