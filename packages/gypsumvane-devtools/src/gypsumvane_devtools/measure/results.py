"""Measurements, checks and results of experiments."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from dataclasses import field

CURRENT = "current"
BASELINE = "baseline"


@dataclass(frozen=True, slots=True)
class Measurement:
    """Hold the values of one variant in one round."""

    variant: str
    round: int
    values: dict[str, float]
    # One value for each second of the run, by the name of the plot.
    series: dict[str, list[float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Check:
    """Compare one value with its bound; the bound comes from the target."""

    text: str
    value: float
    bound: float
    met: bool


def at_most(text: str, value: float, bound: float) -> Check:
    """Check an upper bound."""
    return Check(text, round(value, 4), bound, value <= bound)


def at_least(text: str, value: float, bound: float) -> Check:
    """Check a lower bound."""
    return Check(text, round(value, 4), bound, value >= bound)


@dataclass(slots=True)
class MeasurementTable:
    """Collect the measurements of all rounds."""

    measurements: list[Measurement] = field(default_factory=list)

    def values(self, variant: str, key: str) -> list[float]:
        """Return a value of each round."""
        return [m.values[key] for m in self.measurements if m.variant == variant]

    def median(self, variant: str, key: str) -> float:
        """Return the median over the rounds."""
        return statistics.median(self.values(variant, key))

    def highest(self, variant: str, key: str) -> float:
        """Return the highest value over the rounds."""
        return max(self.values(variant, key))

    def lowest(self, variant: str, key: str) -> float:
        """Return the lowest value over the rounds."""
        return min(self.values(variant, key))


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Hold the result of one run of an experiment."""

    name: str
    target: str
    baseline: str
    set_up: str
    finished_unix_s: int
    commit: str
    cores: int
    load_before: float
    figures: list[Measurement]
    checks: list[Check]
    error: str = ""

    @property
    def met(self) -> bool:
        """Return whether the run succeeded and met all checks."""
        return not self.error and all(check.met for check in self.checks)
