"""Latency with one straggling leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import busiest_leaf
from gypsumvane_devtools.measure.load_helpers import run_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import searches_received
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_least
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

SERVICES = 20
RATE_PER_S = 25.0
DURATION_S = 20.0
# On a shared machine every process stalls for some milliseconds now and then;
# shorter service times than this would measure those stalls.
MEAN_MS = 20.0
STRAGGLER = {"straggler_share": 0.1, "straggler_factor": 10.0}


class StragglerExperiment(Experiment):
    """Compare hedging with no hedging."""

    name: ClassVar[str] = "straggler"
    target: ClassVar[str] = (
        "one leaf 10 times slow in a tenth of its answers: p99 at most half, extra "
        "calls at most 5%, complete answers at least 99.9%"
    )
    baseline: ClassVar[str] = "no hedging (hedge_budget_share 0)"
    set_up: ClassVar[str] = (
        f"{SERVICES} services x 2 leaves with 2 slots, {MEAN_MS:g} ms mean; 4 daemons; "
        f"{RATE_PER_S:g} searches/s for {DURATION_S:g} s; leaves start warm"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        policy = {"hedge_budget_share": 0.0} if variant == BASELINE else {}
        index = {"services": SERVICES, "service_time": {"mean_ms": MEAN_MS}}
        async with warm_cluster(search_plan(policy, index=index)) as cluster:
            leaf_id = await busiest_leaf(cluster)
            await cluster.upstreams.update_settings(
                {"service_time": STRAGGLER}, leaf_id=leaf_id
            )
            before = await searches_received(cluster)
            result = await run_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            )
            received = await searches_received(cluster) - before
        return {
            "offered": result.offered,
            "p50_ms": result.latency_ms["p50"],
            "p99_ms": result.latency_ms["p99"],
            "extra_share": received / (result.offered * SERVICES) - 1,
            "complete_share": result.complete_in_time_share(),
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        ratio = table.median(CURRENT, "p99_ms") / table.median(BASELINE, "p99_ms")
        return [
            at_most("p99 relative to the baseline, medians", ratio, 0.5),
            at_most("extra calls", table.highest(CURRENT, "extra_share"), 0.05),
            at_least(
                "complete answers in time",
                table.lowest(CURRENT, "complete_share"),
                0.999,
            ),
        ]
