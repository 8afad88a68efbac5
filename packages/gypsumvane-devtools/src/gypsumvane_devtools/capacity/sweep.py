"""Base class of all sweeps and the linear fit of their points."""

from __future__ import annotations

import statistics
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Point:
    """Hold what was measured at one size."""

    size: float
    values: dict[str, float]


@dataclass(frozen=True, slots=True)
class Line:
    """Describe a value as intercept + slope * size."""

    value: str
    intercept: float
    slope: float


class Sweep(ABC):
    """Measure a cluster at several sizes."""

    name: ClassVar[str]
    # What the size counts.
    unit: ClassVar[str]
    set_up: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]

    @abstractmethod
    async def measure(self, size: int) -> dict[str, float]:
        """Run a cluster of one size and return its values."""


def fit_lines(points: list[Point]) -> list[Line]:
    """Return the least-squares line of each value over the size."""
    sizes = [point.size for point in points]
    lines = []
    for name in points[0].values:
        found = statistics.linear_regression(
            sizes, [point.values[name] for point in points]
        )
        lines.append(Line(name, intercept=found.intercept, slope=found.slope))
    return lines
