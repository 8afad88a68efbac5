"""Extra calls while a third of the leaves fail."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.cluster_plan import DirectRootPlan
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import INDEX
from gypsumvane_devtools.measure.load_helpers import run_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import searches_received
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

SERVICES = 9
REPLICAS = 3
RETRIES = 3
RATE_PER_S = 30.0
DURATION_S = 15.0


class RetriesExperiment(Experiment):
    """Let one of three leaves of each service fail all requests."""

    name: ClassVar[str] = "retries"
    target: ClassVar[str] = (
        "retries while a third of the leaves fail: extra calls at most 10% of first "
        "tries"
    )
    baseline: ClassVar[str] = (
        "three plain retries (stand-in roots that call the leaves directly, each with "
        "an even share of the limits, at least one slot)"
    )
    set_up: ClassVar[str] = (
        f"{SERVICES} services x {REPLICAS} leaves, the first of each fails; 4 daemons; "
        f"{RATE_PER_S:g} searches/s for {DURATION_S:g} s; leaves start warm"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        index = {"services": SERVICES, "replicas": REPLICAS}
        direct = DirectRootPlan(retries=RETRIES) if variant == BASELINE else None
        async with warm_cluster(
            search_plan(index=index, direct_roots=direct)
        ) as cluster:
            for number_of_service in range(SERVICES):
                leaf_id = f"{INDEX}-{number_of_service:02d}-0"
                await cluster.upstreams.update_settings(
                    {"fault": {"mode": "fail"}}, leaf_id=leaf_id
                )
            before = await searches_received(cluster)
            result = await run_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            )
            received = await searches_received(cluster) - before
        return {
            "offered": result.offered,
            "extra_share": received / (result.offered * SERVICES) - 1,
            "complete_share": result.complete_in_time_share(),
            "p99_ms": result.latency_ms["p99"],
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        extra = table.highest(CURRENT, "extra_share")
        return [at_most("extra calls relative to first tries", extra, 0.10)]
