"""Load runs in separate processes."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from gypsumvane_devtools.load_result import merge_results
from gypsumvane_devtools.load_result import result_from_json
from gypsumvane_devtools.managed_process import ManagedProcess
from gypsumvane_devtools.managed_process import ProcessError

if TYPE_CHECKING:
    from gypsumvane_devtools.load_plan import LoadPlan
    from gypsumvane_devtools.load_result import LoadResult


async def run_load_process(plan: LoadPlan) -> LoadResult:
    """Run a plan in another process and return its result."""
    with tempfile.TemporaryDirectory(prefix="gypsumvane-load-") as name:
        directory = Path(name)
        path = directory / "plan.json"
        path.write_text(plan.model_dump_json(), encoding="utf-8")
        process = ManagedProcess("load", directory)
        await process.start("gypsumvane_devtools.load", "--plan", str(path))
        try:
            output = await process.read_output()
        finally:
            await process.end()
        if not output:
            raise ProcessError(f"load run printed no result:\n{process.log_tail()}")
        return result_from_json(json.loads(output))


async def run_load_processes(plan: LoadPlan, *, processes: int) -> LoadResult:
    """Divide a plan over processes and merge their results."""
    parts = [
        plan.model_copy(
            update={
                "rate_per_s": plan.rate_per_s / processes,
                "seed": plan.seed * 1000 + number,
            }
        )
        for number in range(processes)
    ]
    return merge_results(await asyncio.gather(*map(run_load_process, parts)))
