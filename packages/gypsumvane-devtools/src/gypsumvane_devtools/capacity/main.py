"""Run sweeps by name and write their points and fitted lines."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from absl import app as absl_app
from absl import flags

from gypsumvane_devtools.capacity.change_cost import ChangeCostSweep
from gypsumvane_devtools.capacity.fleet_cost import FleetCostSweep
from gypsumvane_devtools.capacity.leaf_count_cost import LeafCountCostSweep
from gypsumvane_devtools.capacity.query_cost import QueryCostSweep
from gypsumvane_devtools.capacity.sweep import Point
from gypsumvane_devtools.capacity.sweep import Sweep
from gypsumvane_devtools.capacity.sweep import fit_lines
from gypsumvane_devtools.measure.experiment import current_commit

FLAGS = flags.FLAGS
SWEEP_CLASSES: list[type[Sweep]] = [
    QueryCostSweep,
    FleetCostSweep,
    LeafCountCostSweep,
    ChangeCostSweep,
]
SWEEPS = {sweep.name: sweep for sweep in SWEEP_CLASSES}


async def run_sweep(sweep: Sweep, directory: Path) -> None:
    """Measure all sizes and write the result."""
    load_before = os.getloadavg()[0]
    points = []
    for size in sweep.sizes:
        values = await sweep.measure(size)
        points.append(Point(size, {k: round(v, 5) for k, v in values.items()}))
        print(f"{sweep.name} {size} {sweep.unit}: {points[-1].values}", flush=True)
    lines = fit_lines(points)
    for line in lines:
        print(f"  {line.value} = {line.intercept:.5g} + {line.slope:.5g} * size")
    result = {
        "name": sweep.name,
        "unit": sweep.unit,
        "set_up": sweep.set_up,
        "finished_unix_s": int(time.time()),
        "commit": current_commit(),
        "cores": os.cpu_count(),
        "load_before": round(load_before, 2),
        "points": [asdict(point) for point in points],
        "lines": [asdict(line) for line in lines],
    }
    write_result(result, directory / f"{sweep.name}.json")


def write_result(result: dict[str, Any], path: Path) -> None:
    """Write a result over the earlier one."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


async def run_all(names: list[str], root: Path) -> None:
    """Run sweeps one after the other."""
    for name in names:
        await run_sweep(SWEEPS[name](), root / "measurements" / "capacity")


def main(argv: list[str]) -> None:
    """Run the sweeps named on the command line."""
    names = list(SWEEPS) if argv[1:] == ["all"] else argv[1:]
    if not names or not set(names) <= set(SWEEPS):
        sys.exit(f"usage: capacity all | NAME...; names: {', '.join(SWEEPS)}")
    asyncio.run(run_all(names, Path(FLAGS.root)))


if __name__ == "__main__":
    flags.DEFINE_string("root", ".", "Directory of the work tree.")
    absl_app.run(main)
