"""Requests that cold leaves receive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import counter_max
from gypsumvane_devtools.measure.load_helpers import counter_sum
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

SERVICES = 8
SLOTS = 2
RATE_PER_S = 60.0
PHASE_S = 6.0
FIXED_LIMIT = {"cold_concurrency": SLOTS, "cold_spacing_ms": 0, "warm_good_answers": 1}


class ColdStartExperiment(Experiment):
    """Compare the cold allowance with a fixed limit."""

    name: ClassVar[str] = "cold_start"
    target: ClassVar[str] = (
        "work above what the upstream can bear: 0; without warning, only what was in "
        "progress at the first sign"
    )
    baseline: ClassVar[str] = "fixed limit (slots, no spacing)"
    set_up: ClassVar[str] = (
        f"{SERVICES} services x 2 leaves with {SLOTS} slots; a cold leaf bears 1 call "
        f"and 30/s; {RATE_PER_S:g} searches/s over 4 daemons; all leaves start cold, "
        "those of one domain restart, those of another turn cold without warning"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        policy = FIXED_LIMIT if variant == BASELINE else {}
        index = {"services": SERVICES, "slots": SLOTS}
        async with Cluster(
            search_plan(policy, starts_warm=False, index=index)
        ) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=3 * PHASE_S, seed=number + 1
            ) as load_task:
                await asyncio.sleep(PHASE_S)
                values = await self._phase_values(cluster, "start")
                await cluster.upstreams.perform_action(
                    "restart", 1.0, failure_domain="b"
                )
                await asyncio.sleep(PHASE_S)
                values |= await self._phase_values(cluster, "restart")
                await cluster.upstreams.perform_action(
                    "turn_cold", False, failure_domain="c"
                )
            result = load_task.result()
            values |= await self._phase_values(cluster, "unwarned")
        values["complete_share"] = result.complete_in_time_share()
        return values

    async def _phase_values(self, cluster: Cluster, phase: str) -> dict[str, float]:
        values = {
            f"excess_{phase}": await counter_sum(cluster, "cold_excess"),
            f"falls_{phase}": await counter_sum(cluster, "falls"),
            f"before_sign_{phase}": await counter_max(cluster, "cold_excess_unwarned"),
            f"cold_calls_{phase}": await counter_sum(cluster, "received_cold"),
        }
        await cluster.upstreams.perform_action("reset_counters")
        return values

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        phases = ("start", "restart", "unwarned")
        checks = [
            at_most(
                f"calls above what cold leaves bear ({phase})",
                table.highest(CURRENT, f"excess_{phase}"),
                0,
            )
            for phase in phases
        ]
        before_sign = table.highest(CURRENT, "before_sign_unwarned")
        checks.append(
            at_most(
                "calls above it before the first sign, per leaf", before_sign, SLOTS
            )
        )
        return checks
