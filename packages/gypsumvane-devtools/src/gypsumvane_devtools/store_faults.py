"""Faults and counters of the store stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class StoreFaults:
    """Hold the faults that the control interface switches."""

    outage: bool = False
    # During a silent outage calls get no answer instead of status 503.
    silent: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""


@dataclass(slots=True)
class StoreCounters:
    """Count calls by kind; a watch counts as one call when it arrives."""

    calls: dict[str, int] = field(default_factory=dict)
    calls_by_prefix: dict[str, int] = field(default_factory=dict)
    waiting_watches: int = 0
    waiting_watches_max: int = 0
    refused_rate: int = 0
    refused_outage: int = 0
    conflicts: int = 0
    lost_answers: int = 0

    def count(self, kind: str, path: str) -> None:
        """Count one call and its first path segment."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        label = f"{kind} {path.partition('/')[0]}"
        self.calls_by_prefix[label] = self.calls_by_prefix.get(label, 0) + 1

    def watch_started(self) -> None:
        """Count a watch that starts to wait."""
        self.waiting_watches += 1
        self.waiting_watches_max = max(self.waiting_watches_max, self.waiting_watches)

    def watch_ended(self) -> None:
        """Count a watch that has stopped waiting."""
        self.waiting_watches -= 1
