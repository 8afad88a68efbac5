"""Runs per key while daemons and the store fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.load_plan import LoadKind
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import bookings_index
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.load_result import LoadResult
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

INDEX = "bookings"
OWN_KEYS = "callers' own keys"
RESERVED_KEYS = "reserved keys"
RATE_PER_S = 40.0
STEP_S = 4.0
STEPS = 6


class BookingsExperiment(Experiment):
    """Book while a daemon is killed, one is paused and the store fails."""

    name: ClassVar[str] = "bookings"
    target: ClassVar[str] = (
        "runs per key at most 1; false NOT_RUN: 0; share of first tries taken is "
        "stated, also through a store outage"
    )
    set_up: ClassVar[str] = (
        f"3 services x 2 leaves; 4 daemons; {RATE_PER_S:g} bookings/s; one step every "
        f"{STEP_S:g} s: nothing, lost store answers, a daemon paused for longer than "
        "its lease, store outage, a daemon killed with its VM"
    )

    def variants(self) -> list[str]:
        """Return the two kinds of keys."""
        return [OWN_KEYS, RESERVED_KEYS]

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        ledger = bookings_index(INDEX)
        settings = {"entry": {"keep_ms": 1000}}
        plan = ClusterPlan(indexes=[ledger], daemon_settings=settings)
        async with Cluster(plan) as cluster:
            async with running_load(
                cluster,
                index=INDEX,
                kind=LoadKind.RUN,
                rate_per_s=RATE_PER_S,
                duration_s=STEPS * STEP_S,
                deadline_ms=3000,
                reserves_keys=variant == RESERVED_KEYS,
                seed=number + 1,
            ) as load_task:
                await inject_faults(cluster)
            result = load_task.result()
            runs_by_key = await cluster.upstreams.runs_by_key()
        return booking_values(result, runs_by_key)

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        checks = []
        for variant in self.variants():
            runs_max = table.highest(variant, "runs_per_key_max")
            checks.append(at_most(f"runs per key ({variant})", runs_max, 1))
            false_not_run = table.highest(variant, "false_not_run")
            checks.append(at_most(f"false NOT_RUN ({variant})", false_not_run, 0))
            false_ran = table.highest(variant, "false_ran")
            checks.append(at_most(f"RAN without a run ({variant})", false_ran, 0))
        return checks


async def inject_faults(cluster: Cluster) -> None:
    """Inject one fault after the other."""
    await asyncio.sleep(STEP_S)
    await cluster.store.post("/control/lose-answers", count=10)
    await asyncio.sleep(STEP_S)
    cluster.daemons[2].process.pause()
    await asyncio.sleep(STEP_S)
    cluster.daemons[2].process.resume()
    await cluster.store.post("/control/outage", on=True)
    await asyncio.sleep(STEP_S)
    await cluster.store.post("/control/outage", on=False)
    await cluster.kill_daemon(3, vm_lost=True)


def booking_values(result: LoadResult, runs_by_key: dict[str, int]) -> dict[str, float]:
    """Compare the answers with the ledger."""
    not_run = [run.key for run in result.runs if run.verdict == "not_run"]
    ran = [run.key for run in result.runs if run.verdict == "ran"]
    return {
        "offered": result.offered,
        "taken_share": len(ran) / max(1, result.offered),
        "taken_share_in_outage": taken_share_in_outage(result),
        "may_have_run": sum(run.verdict == "may_have_run" for run in result.runs),
        "without_answer": sum(run.verdict == "none" for run in result.runs),
        "runs_per_key_max": max(runs_by_key.values(), default=0),
        "false_not_run": sum(key in runs_by_key for key in not_run),
        "false_ran": sum(key not in runs_by_key for key in ran),
    }


def taken_share_in_outage(result: LoadResult) -> float:
    """Return the share of bookings taken while the store was down."""
    first = int(3 * STEP_S)
    seconds = result.seconds[first : first + int(STEP_S)]
    offered = sum(second.offered for second in seconds)
    complete = sum(second.outcomes.get("complete", 0) for second in seconds)
    return complete / max(1, offered)
