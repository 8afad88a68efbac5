"""Base class of all experiments."""

from __future__ import annotations

import logging
import os
import subprocess
import time
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import ExperimentResult
from gypsumvane_devtools.measure.results import Measurement
from gypsumvane_devtools.measure.results import MeasurementTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_devtools.measure.results import Check

    MeasurementListener = Callable[[Measurement], None]

logger = logging.getLogger(__name__)


def ignore_measurement(measurement: Measurement) -> None:
    """Ignore a measurement."""


class Experiment(ABC):
    """Measure one target; baseline and current code alternate."""

    name: ClassVar[str]
    target: ClassVar[str]
    baseline: ClassVar[str] = ""
    set_up: ClassVar[str]
    rounds: ClassVar[int] = 3

    def __init__(self) -> None:
        # Filled by `measure` with one value for each second, by name.
        self.series: dict[str, list[float]] = {}

    @abstractmethod
    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once and return its values."""

    @abstractmethod
    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare the values with the bounds of the target."""

    def variants(self) -> list[str]:
        """Return the variants to compare."""
        return [CURRENT, BASELINE] if self.baseline else [CURRENT]

    async def run(
        self, on_measurement: MeasurementListener = ignore_measurement
    ) -> ExperimentResult:
        """Run all rounds and check the target; measurements are reported at once."""
        load_before = os.getloadavg()[0]
        table = MeasurementTable()
        error = ""
        checks: list[Check] = []
        try:
            for number in range(self.rounds):
                await self._run_round(table, number, on_measurement)
            checks = self.check_targets(table)
        except Exception as failure:
            # A failed round is reported in the result.
            logger.exception("experiment failed", extra={"experiment": self.name})
            error = f"{type(failure).__name__}: {failure}"[:1000]
        return ExperimentResult(
            name=self.name,
            target=self.target,
            baseline=self.baseline,
            set_up=self.set_up,
            finished_unix_s=int(time.time()),
            commit=current_commit(),
            cores=os.cpu_count() or 0,
            load_before=round(load_before, 2),
            figures=table.measurements,
            checks=checks,
            error=error,
        )

    async def _run_round(
        self, table: MeasurementTable, number: int, on_measurement: MeasurementListener
    ) -> None:
        variants = self.variants()
        # Every second round runs in the other order, so that a drift of the
        # machine does not favour one variant.
        ordered = variants if number % 2 == 0 else variants[::-1]
        for variant in ordered:
            self.series = {}
            values = await self.measure(variant, number)
            rounded = {key: round(value, 4) for key, value in values.items()}
            series = {
                name: [round(value, 4) for value in points]
                for name, points in self.series.items()
            }
            measurement = Measurement(variant, number, rounded, series)
            table.measurements.append(measurement)
            on_measurement(measurement)


def current_commit() -> str:
    """Return the measured commit, with `-dirty` when `packages` has changes."""
    commit = git_output("rev-parse", "--short", "HEAD") or "unknown"
    # Results of earlier experiments of the same run do not count as changes.
    changed = git_output("status", "--porcelain", "--", "packages")
    return f"{commit}-dirty" if changed else commit


def git_output(*arguments: str) -> str:
    """Return the output of a git command, empty when it fails."""
    command = ["git", *arguments]
    found = subprocess.run(command, capture_output=True, text=True, check=False)
    return found.stdout.strip()
