"""Snapshots that leaves reported as gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock

# Longer than the heartbeats take to carry a brief (500 ms), and short enough that
# a leaf is soon asked again once it has reloaded the snapshot.
ENTRY_TTL_S = 3.0


class GoneSnapshots:
    """Remember reports of gone snapshots until the briefs reflect them."""

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
        """Return whether a leaf recently reported a snapshot as gone."""
        until_s = self._until_s.get((leaf_id, snapshot))
        return until_s is not None and until_s > self._clock.monotonic_s()
