"""Sampling of answers, so that one stall is counted only once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# The answers of one query's services usually arrive within this time and are
# delayed by the same stalls.
SAMPLING_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """Record whether one answer failed and how long it took."""

    failed: bool
    latency_ms: float


@dataclass(slots=True)
class _Interval:
    number: int
    answers: int
    sample: AnswerSample


class AnswerSampler:
    """Keep one random answer per source and interval (reservoir sampling)."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._open: dict[tuple[str, str], _Interval] = {}

    def add(
        self, source: tuple[str, str], sample: AnswerSample, now_s: float
    ) -> AnswerSample | None:
        """Add an answer and return the sample of the previous interval, if it ended."""
        number = int(now_s / SAMPLING_INTERVAL_S)
        interval = self._open.get(source)
        if interval is None or interval.number != number:
            self._open[source] = _Interval(number, 1, sample)
            return None if interval is None else interval.sample
        interval.answers += 1
        if self._rng.random() * interval.answers < 1:
            interval.sample = sample
        return None

    def flush(self, now_s: float) -> list[tuple[tuple[str, str], AnswerSample]]:
        """Return the samples of all intervals that ended."""
        number = int(now_s / SAMPLING_INTERVAL_S)
        ended = [s for s, interval in self._open.items() if interval.number != number]
        return [(source, self._open.pop(source).sample) for source in ended]
