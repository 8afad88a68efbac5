"""Tests of the experiment tool."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.report import store_result
from gypsumvane_devtools.measure.report import write_page
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable


class CountingExperiment(Experiment):
    """Return given values in turn."""

    name: ClassVar[str] = "counting"
    target: ClassVar[str] = "at most 2"
    baseline: ClassVar[str] = "none"
    set_up: ClassVar[str] = "a list"

    def __init__(self, values: list[float]) -> None:
        super().__init__()
        self.remaining = values
        self.order: list[str] = []

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Return the next value."""
        self.order.append(variant)
        self.series["share"] = [0.0, 1.0]
        value = self.remaining.pop(0)
        return {"value": value, "p99_ms": value}

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        return [at_most("value", table.highest(CURRENT, "value"), 2)]


class ExperimentTest(unittest.IsolatedAsyncioTestCase):
    """Check the order of variants, the target checks and the page."""

    async def test_variants_alternate(self) -> None:
        """Guard against a fixed order, in which machine drift favours a variant."""
        experiment = CountingExperiment([1, 9, 9, 2, 1, 9])
        result = await experiment.run()
        expected = [CURRENT, BASELINE, BASELINE, CURRENT, CURRENT, BASELINE]
        self.assertEqual(experiment.order, expected)
        self.assertTrue(result.met)

    async def test_one_bad_round_misses_the_target(self) -> None:
        """Guard against a check that ignores the worst round."""
        result = await CountingExperiment([1, 9, 9, 3, 1, 9]).run()
        self.assertFalse(result.met)

    async def test_failed_run_is_not_met(self) -> None:
        """Guard against a failure that counts as success."""
        with self.assertLogs(level="ERROR"):
            result = await CountingExperiment([1]).run()
        self.assertIn("IndexError", result.error)
        self.assertFalse(result.met)

    async def test_page_shows_every_round(self) -> None:
        """Guard against a page without the values of every round."""
        result = await CountingExperiment([1, 9, 9, 3, 1, 9]).run()
        with tempfile.TemporaryDirectory() as name:
            store_result(result, Path(name))
            stored = json.loads((Path(name) / "counting.json").read_text())
            write_page(
                Path(name), Path(name) / "page.md", journal=Path(name) / "journal"
            )
            page = (Path(name) / "page.md").read_text()
            plots = {path.name for path in (Path(name) / "plots").iterdir()}
            line = (Path(name) / "plots" / "counting-current.svg").read_text()
        self.assertFalse(stored["met"])
        self.assertIn("Target not met", page)
        self.assertIn("| current | 2 | 3 |", page)
        for plot in ("latency", "current", "baseline"):
            self.assertIn(f"counting-{plot}.svg", plots)
            self.assertIn(f"(plots/counting-{plot}.svg)", page)
        self.assertEqual(line.count("<polyline"), 3)
        self.assertEqual(page.count("| baseline |"), 3)
