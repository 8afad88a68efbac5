"""Snapshots that leaves reported as gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock

# Longer than a brief takes to travel with the heartbeats (500 ms), short
# enough that a leaf that loaded the snapshot again is soon asked for it.
ENTRY_TTL_S = 3.0


class GoneSnapshots:
    """Remember for a short time what the briefs do not tell yet."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s: dict[tuple[str, int], float] = {}

    def mark(self, leaf_id: str, snapshot: int) -> None:
        """Record that a leaf reported a snapshot as gone."""
        now_s = self._clock.monotonic_s()
        for key, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[key]
        self._until_s[leaf_id, snapshot] = now_s + ENTRY_TTL_S

    def is_gone(self, leaf_id: str, snapshot: int) -> bool:
        """Return whether a leaf reported a snapshot as gone lately."""
        until_s = self._until_s.get((leaf_id, snapshot))
        return until_s is not None and until_s > self._clock.monotonic_s()
