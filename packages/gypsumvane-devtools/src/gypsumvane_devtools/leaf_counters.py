"""Counters of a simulated leaf."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class LeafCounters:
    """Count requests and connections, for checks against the limits."""

    received: dict[str, int] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    begun: int = 0
    running_max: int = 0
    in_progress_max: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    connections_max: int = 0
    falls: int = 0
    # Requests above the capacity of the cold leaf. The unwarned ones came before
    # the leaf had given a sign that it is cold.
    cold_excess: int = 0
    cold_excess_unwarned: int = 0
    received_cold: int = 0
    received_while_draining: int = 0
    received_while_out: int = 0
    # Seconds between the drain or out mark and the last request after it.
    last_after_drain_s: float = 0.0
    last_after_out_s: float = 0.0
    without_deadline: int = 0
    received_past_deadline: int = 0
    finished_past_deadline: int = 0
    past_deadline_max_ms: float = 0.0
    cancelled: int = 0

    def count_received(self, kind: str) -> None:
        """Count one request by kind."""
        self.received[kind] = self.received.get(kind, 0) + 1

    def count_answer(self, label: str) -> None:
        """Count one answer by its label: `ok` or the error."""
        self.answers[label] = self.answers.get(label, 0) + 1

    def count_past_deadline(self, late_s: float) -> None:
        """Count a request that finished after its deadline."""
        self.finished_past_deadline += 1
        self.past_deadline_max_ms = max(self.past_deadline_max_ms, late_s * 1000)
