"""Whole numbers in headers."""

from __future__ import annotations

# Larger numbers name no time or count that occurs.
DIGITS_MAX = 15


def parse_whole_number(text: str) -> int | None:
    """Return the number in a text of ASCII digits, None for any other text.

    str.isdigit() also accepts characters that int() does not, and int() rejects
    numbers of thousands of digits.
    """
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > DIGITS_MAX:
        return None
    return int(text)
