"""Sampling of answers, so that one stall does not count many times."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# The answers of one query to many services arrive within such a time and share
# its stalls.
QUANTUM_S = 0.02


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """Describe one answer."""

    failed: bool
    latency_ms: float


@dataclass(slots=True)
class _Quantum:
    number: int
    answers: int
    sample: AnswerSample


class AnswerSampler:
    """Keep one random answer per quantum of time for each source."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._open: dict[tuple[str, str], _Quantum] = {}

    def add(
        self, source: tuple[str, str], sample: AnswerSample, now_s: float
    ) -> AnswerSample | None:
        """Add an answer and return the sample of a quantum that ended."""
        number = int(now_s / QUANTUM_S)
        quantum = self._open.get(source)
        if quantum is None or quantum.number != number:
            self._open[source] = _Quantum(number, 1, sample)
            return None if quantum is None else quantum.sample
        quantum.answers += 1
        if self._rng.random() * quantum.answers < 1:
            quantum.sample = sample
        return None

    def flush(self, now_s: float) -> list[tuple[tuple[str, str], AnswerSample]]:
        """Return the samples of all quanta that ended."""
        number = int(now_s / QUANTUM_S)
        ended = [s for s, quantum in self._open.items() if quantum.number != number]
        return [(source, self._open.pop(source).sample) for source in ended]
