"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class Backoff:
    """Compute exponentially growing pauses between attempts.

    The base pause doubles up to ``max_s``; each returned pause is drawn uniformly
    from the upper half of the base.
    """

    def __init__(self, rng: Random, *, first_s: float, max_s: float) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._pause_s = first_s

    def next_s(self) -> float:
        """Return the next pause in seconds and double the base."""
        pause_s = self._pause_s
        self._pause_s = min(self._max_s, 2 * pause_s)
        return pause_s * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Restart from the first pause, after a success."""
        self._pause_s = self._first_s
