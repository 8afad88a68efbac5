"""Suspicion of peers that do not answer."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# After a pause of this daemon one request fails at once with an old last
# answer; suspecting needs failures that are spread over running time.
FAILURES_MIN = 2


@dataclass(slots=True)
class _Silence:
    since_s: float
    failures: int = 0
    answered: bool = False


@dataclass(slots=True)
class Suspicion:
    """Count unanswered heartbeats of each incarnation."""

    after_s: float
    _silences: dict[str, _Silence] = field(default_factory=dict)

    def note_answer(self, incarnation: str, now_s: float) -> None:
        """Clear the suspicion."""
        self._silences[incarnation] = _Silence(since_s=now_s, answered=True)

    def note_failure(self, incarnation: str, sent_at_s: float) -> None:
        """Count an unanswered heartbeat."""
        silence = self._silences.setdefault(incarnation, _Silence(since_s=sent_at_s))
        silence.failures += 1

    def answered_after(self, incarnation: str, time_s: float) -> bool:
        """Return whether an answer came after a time."""
        silence = self._silences.get(incarnation)
        return silence is not None and silence.answered and silence.since_s > time_s

    def silent_s(self, incarnation: str, now_s: float) -> float:
        """Return for how long a suspected incarnation has been silent."""
        silence = self._silences.get(incarnation)
        if silence is None or silence.failures < FAILURES_MIN:
            return 0.0
        silent_s = now_s - silence.since_s
        return silent_s if silent_s > self.after_s else 0.0

    def suspected(self, incarnation: str, now_s: float) -> bool:
        """Return whether the incarnation is suspected."""
        return self.silent_s(incarnation, now_s) > 0
