"""Slots and connections of each leaf while daemons join and leave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.cluster_plan import DirectRootPlan
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import counter_max
from gypsumvane_devtools.measure.load_helpers import counter_sum
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.cluster import Cluster
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

DAEMONS = 4
SERVICES = 8
# Divisible by the daemons, so that even shares use all slots at the start.
SLOTS = 4
CONNECTIONS = 24
MEAN_MS = 30.0
RATE_PER_S = 120.0
STEP_S = 5.0
DURATION_S = 35.0
APPEAR_LAG_MS = 1000.0
DISAPPEAR_LAG_MS = 1000.0


class LimitsExperiment(Experiment):
    """Let a daemon join, leave, pause and be killed under load."""

    name: ClassVar[str] = "limits"
    target: ClassVar[str] = (
        "slots and connections over all daemons: never exceeded, also while a daemon "
        "joins, leaves, is paused or killed"
    )
    baseline: ClassVar[str] = (
        "limits divided evenly (stand-in roots that count the daemons in the live "
        "list and call the leaves directly)"
    )
    set_up: ClassVar[str] = (
        f"{SERVICES} services x 2 leaves with {SLOTS} slots, {CONNECTIONS} connections "
        f"and {MEAN_MS:g} ms; {RATE_PER_S:g} searches/s for {DURATION_S:g} s; one step "
        f"every {STEP_S:g} s: {DAEMONS} daemons, a fifth joins, one leaves, one is "
        "paused, resumed, one is killed with its VM; the live list lags "
        f"{APPEAR_LAG_MS:g} ms; leaves start warm"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        plan = search_plan(
            daemons=DAEMONS,
            index={
                "services": SERVICES,
                "slots": SLOTS,
                "connections_max": CONNECTIONS,
                "service_time": {"mean_ms": MEAN_MS},
            },
            spare_daemons=1,
            appear_lag_ms=APPEAR_LAG_MS,
            disappear_lag_ms=DISAPPEAR_LAG_MS,
            daemon_settings={"entry": {"keep_ms": 1000}},
            direct_roots=DirectRootPlan() if variant == BASELINE else None,
        )
        async with warm_cluster(plan) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            ) as load_task:
                await change_daemons(cluster)
            result = load_task.result()
            # A leaf queues calls above its slots, so the calls in progress are counted.
            used = await counter_max(cluster, "in_progress_max")
            connections = await counter_max(cluster, "connections_max")
            refused = await counter_sum(cluster, "connections_refused")
        return {
            "slots_used_max": used,
            "connections_max": connections,
            "connections_refused": refused,
            "complete_share": result.complete_in_time_share(),
            "p50_ms": result.latency_ms["p50"],
            "p99_ms": result.latency_ms["p99"],
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        slots = table.highest(CURRENT, "slots_used_max")
        connections = table.highest(CURRENT, "connections_max")
        refused = table.highest(CURRENT, "connections_refused")
        return [
            at_most("calls in progress at one leaf", slots, SLOTS),
            at_most("connections open at one leaf", connections, CONNECTIONS),
            at_most("connections refused by leaves", refused, 0),
        ]


async def change_daemons(cluster: Cluster) -> None:
    """Let a daemon join, leave, pause and be killed, one step after the other."""
    await asyncio.sleep(STEP_S)
    await cluster.start_daemon(DAEMONS)
    await asyncio.sleep(STEP_S)
    await cluster.stop_daemon(0)
    await asyncio.sleep(STEP_S)
    paused = cluster.daemons[1].process
    paused.pause()
    await asyncio.sleep(STEP_S)
    paused.resume()
    await asyncio.sleep(STEP_S)
    await cluster.kill_daemon(2, vm_lost=True)
