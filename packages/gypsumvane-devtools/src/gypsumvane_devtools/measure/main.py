"""Run experiments by name and write their results."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app as absl_app
from absl import flags

from gypsumvane_devtools.measure.registry import EXPERIMENTS
from gypsumvane_devtools.measure.report import store_result
from gypsumvane_devtools.measure.report import write_page

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Measurement

FLAGS = flags.FLAGS
# Command-line argument that generates the page without an experiment.
REPORT = "report"


def print_measurement(measurement: Measurement) -> None:
    """Print a measurement of one round."""
    print(
        f"round {measurement.round + 1} {measurement.variant}: {measurement.values}",
        flush=True,
    )


def write_root_page(root: Path) -> None:
    """Generate the page and plots of a work tree."""
    page = root / "docs" / "measurements.md"
    write_page(root / "measurements", page, journal=root / "journal")


async def run_all(names: list[str], root: Path) -> bool:
    """Run experiments in order; return whether all targets are met."""
    all_met = True
    for name in names:
        result = await EXPERIMENTS[name]().run(print_measurement)
        store_result(result, root / "measurements")
        write_root_page(root)
        all_met = all_met and result.met
        print(f"{name}: target {'met' if result.met else 'not met'} {result.error}")
        for check in result.checks:
            mark = "ok" if check.met else "MISSED"
            print(f"  {mark}: {check.text}: {check.value:g} (bound {check.bound:g})")
    return all_met


def main(argv: list[str]) -> None:
    """Run the experiments named on the command line, or only write the page."""
    if argv[1:] == [REPORT]:
        write_root_page(Path(FLAGS.root))
        return
    names = list(EXPERIMENTS) if argv[1:] == ["all"] else argv[1:]
    unknown = [name for name in names if name not in EXPERIMENTS]
    if not names or unknown:
        sys.exit(
            f"usage: measure {REPORT} | all | NAME...; names: {', '.join(EXPERIMENTS)}"
        )
    met = asyncio.run(run_all(names, Path(FLAGS.root)))
    sys.exit(0 if met else 1)


if __name__ == "__main__":
    flags.DEFINE_string("root", ".", "Directory of the work tree.")
    absl_app.run(main)
