"""Failure detector for peers that do not answer heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# After a pause of this daemon a single request fails while the last answer is old.
# A peer is therefore suspected only after several failures.
FAILURES_MIN = 2


@dataclass(slots=True)
class _AnswerRecord:
    since_s: float
    failures: int = 0
    answered: bool = False


@dataclass(slots=True)
class FailureDetector:
    """Suspect incarnations that leave heartbeats unanswered for some time."""

    suspect_after_s: float
    _records: dict[str, _AnswerRecord] = field(default_factory=dict)

    def record_answer(self, incarnation: str, now_s: float) -> None:
        """Record an answer, which clears the suspicion."""
        self._records[incarnation] = _AnswerRecord(since_s=now_s, answered=True)

    def record_failure(self, incarnation: str, sent_at_s: float) -> None:
        """Record an unanswered heartbeat."""
        record = self._records.setdefault(incarnation, _AnswerRecord(since_s=sent_at_s))
        record.failures += 1

    def answered_after(self, incarnation: str, time_s: float) -> bool:
        """Return whether the last answer arrived after a time."""
        record = self._records.get(incarnation)
        return record is not None and record.answered and record.since_s > time_s

    def unresponsive_s(self, incarnation: str, now_s: float) -> float:
        """Return for how long a suspected incarnation has not answered, else 0."""
        record = self._records.get(incarnation)
        if record is None or record.failures < FAILURES_MIN:
            return 0.0
        unresponsive_s = now_s - record.since_s
        return unresponsive_s if unresponsive_s > self.suspect_after_s else 0.0

    def suspected(self, incarnation: str, now_s: float) -> bool:
        """Return whether the incarnation is suspected."""
        return self.unresponsive_s(incarnation, now_s) > 0
