"""Grades of a daemon's authority over a leaf."""

from __future__ import annotations

from enum import StrEnum


class AuthorityGrade(StrEnum):
    """Name the share of a leaf's limit that a daemon may use."""

    FULL = "full"
    # A new home; the former home may still be active.
    HALF = "half"
    # A home whose view is not confirmed; a newer view may exist.
    UNCONFIRMED = "unconfirmed"
    NONE = "none"

    def allowance(self, limit: int) -> int:
        """Return the usable share; HALF and UNCONFIRMED add up to the limit."""
        if self is AuthorityGrade.FULL:
            return limit
        if self is AuthorityGrade.HALF:
            return limit - limit // 2
        if self is AuthorityGrade.UNCONFIRMED:
            return limit // 2
        return 0
