"""Cache of the newest briefs of all upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.messages import UpstreamBrief

# A brief is renewed after this time even if it changed little; sequence numbers are
# wall-clock milliseconds. Peers that missed a brief do not depend on the renewal: a
# new connection starts with all briefs.
RENEW_MS = 60_000
# Smaller changes of the latency or the queue do not affect the selection of leaves.
LATENCY_CHANGE_SHARE = 0.25
QUEUE_CHANGE = 4


def is_significant_change(known: UpstreamBrief, newer: UpstreamBrief) -> bool:
    """Return whether a brief differs enough from a known one to be sent."""
    if newer.sequence - known.sequence >= RENEW_MS:
        return True
    if _significant_fields(known) != _significant_fields(newer):
        return True
    if abs(newer.queued - known.queued) >= QUEUE_CHANGE:
        return True
    if known.queued and not newer.queued:
        # While a leaf seems to have a queue it is avoided, and a cold one not probed.
        return True
    change_ms = abs(newer.latency_ms - known.latency_ms)
    return change_ms > LATENCY_CHANGE_SHARE * known.latency_ms


def _significant_fields(brief: UpstreamBrief) -> tuple[object, ...]:
    return (
        brief.state,
        brief.limit,
        brief.snapshots,
        brief.version,
        brief.boot_id,
    )


class BriefCache:
    """Hold the newest brief of each leaf, whether of this home or of a peer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._briefs: dict[str, UpstreamBrief] = {}
        self._listeners: list[Callable[[UpstreamBrief], None]] = []

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf, None if there is none."""
        return self._briefs.get(leaf_id)

    def all(self) -> list[UpstreamBrief]:
        """Return the newest brief of each leaf."""
        return list(self._briefs.values())

    def on_change(self, listener: Callable[[UpstreamBrief], None]) -> None:
        """Register a listener that is called with each newer brief."""
        self._listeners.append(listener)

    def update(self, brief: UpstreamBrief) -> bool:
        """Store a brief if it is newer and return whether it was."""
        known = self._briefs.get(brief.leaf_id)
        if known is not None and brief.sequence <= known.sequence:
            return False
        self._briefs[brief.leaf_id] = brief
        for listener in self._listeners:
            listener(brief)
        return True

    def next_sequence(self, leaf_id: str) -> int:
        """Return a sequence number above all known ones of a leaf.

        It is at least the wall-clock time in milliseconds, so that a new home
        continues above the numbers of a former home that it never received.
        """
        known = self._briefs.get(leaf_id)
        now_ms = int(self._clock.unix_s() * 1000)
        return max(now_ms, known.sequence + 1) if known is not None else now_ms
