"""Revisions of a store that may come back from an older copy.

The store counts its revisions on from the copy, so that it gives some of them out
again, and raises its era. A revision with its era in front only grows.
"""

from __future__ import annotations

# Bits for the store's own revision.
ERA_SHIFT = 48


def with_era(era: int, own_revision: int) -> int:
    """Return a revision that is above all revisions of earlier eras."""
    return (era << ERA_SHIFT) + own_revision


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> ERA_SHIFT


def own_revision(revision: int) -> int:
    """Return the revision as the store counts it."""
    return revision & ((1 << ERA_SHIFT) - 1)
