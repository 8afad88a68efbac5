"""Service while every daemon is restarted in turn."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import counter_sum
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_least
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.cluster import Cluster
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

DAEMONS = 4
SERVICES = 8
RATE_PER_S = 40.0
DURATION_S = 40.0
KEEP_MS = 1000
FIRST_STOP_AFTER_S = 3.0


class PlannedStopExperiment(Experiment):
    """Stop and start each daemon gracefully under load."""

    name: ClassVar[str] = "planned_stop"
    target: ClassVar[str] = (
        "requests cut off: 0, including callers with kept address lists; complete "
        "on-time answers at least 99.9% throughout"
    )
    set_up: ClassVar[str] = (
        f"{DAEMONS} daemons restarted in turn; {SERVICES} services x 2 leaves; "
        f"{RATE_PER_S:g} searches/s for {DURATION_S:g} s; address lists kept "
        f"{KEEP_MS} ms"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run once."""
        plan = search_plan(
            daemons=DAEMONS,
            index={"services": SERVICES},
            daemon_settings={"entry": {"keep_ms": KEEP_MS}},
        )
        async with warm_cluster(plan) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            ) as load_task:
                await asyncio.sleep(FIRST_STOP_AFTER_S)
                statuses = await restart_all(cluster)
            result = load_task.result()
            excess = await counter_sum(cluster, "cold_excess_unwarned")
        return {
            "lost": result.outcomes.get("lost", 0),
            "failed_stops": sum(status != 0 for status in statuses),
            "complete_share": result.complete_in_time_share(),
            "p50_ms": result.latency_ms["p50"],
            "p99_ms": result.latency_ms["p99"],
            "cold_excess_unwarned": excess,
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        share = table.lowest(CURRENT, "complete_share")
        return [
            at_most("requests cut off", table.highest(CURRENT, "lost"), 0),
            at_most("failed stops", table.highest(CURRENT, "failed_stops"), 0),
            at_least("complete answers in time", share, 0.999),
        ]


async def restart_all(cluster: Cluster) -> list[int]:
    """Restart the daemons in turn and return their exit statuses."""
    statuses = []
    for number in range(len(cluster.daemons)):
        statuses.append(await cluster.stop_daemon(number))
        await cluster.start_daemon(number)
    return statuses
