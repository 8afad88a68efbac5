"""Service while a failure domain is taken out and comes back."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import COMPLETE_SERIES
from gypsumvane_devtools.measure.load_helpers import complete_by_second
from gypsumvane_devtools.measure.load_helpers import counter_max
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

DOMAIN = "b"
SERVICES = 8
RATE_PER_S = 40.0
OUT_AFTER_S = 5.0
OUT_S = 10.0
DURATION_S = 25.0


class FailureDomainExperiment(Experiment):
    """Take one of four failure domains out under load and bring it back."""

    name: ClassVar[str] = "failure_domain"
    target: ClassVar[str] = (
        "new work after 3 s: 0; complete on-time answers at least 99.9% throughout, "
        "where the other domains hold the data"
    )
    set_up: ClassVar[str] = (
        f"{SERVICES} services x 2 leaves in 4 domains; 8 daemons; domain {DOMAIN} out "
        f"after {OUT_AFTER_S:g} s for {OUT_S:g} s; {RATE_PER_S:g} searches/s for "
        f"{DURATION_S:g} s; leaves start warm"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run once."""
        plan = search_plan(daemons=8, index={"services": SERVICES})
        async with warm_cluster(plan) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            ) as load_task:
                await asyncio.sleep(OUT_AFTER_S)
                accepted_s = await change_domain(cluster, "out")
                await cluster.upstreams.perform_action(
                    "mark_out", failure_domain=DOMAIN
                )
                before = await counter_sum(cluster, "begun", failure_domain=DOMAIN)
                await asyncio.sleep(OUT_S)
                last_s = await counter_max(
                    cluster, "last_after_out_s", failure_domain=DOMAIN
                )
                await cluster.upstreams.perform_action("mark_in", failure_domain=DOMAIN)
                await change_domain(cluster, "in")
            result = load_task.result()
            self.series[COMPLETE_SERIES] = complete_by_second(result)
        return {
            "accepted_ms": accepted_s * 1000,
            "calls_before": before,
            "last_work_after_s": last_s,
            "complete_share": result.complete_in_time_share(),
            "p99_ms": result.latency_ms["p99"],
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        share = table.lowest(CURRENT, "complete_share")
        last_s = table.highest(CURRENT, "last_work_after_s")
        return [
            at_most("seconds until the last new work", last_s, 3.0),
            at_least("complete answers in time", share, 0.999),
        ]


async def change_domain(cluster: Cluster, direction: str) -> float:
    """Take the domain out or in and return the seconds until acceptance.

    Raises RuntimeError when the daemon refuses the change.
    """
    start_s = time.monotonic()
    body = {"change_id": uuid.uuid4().hex, "reason": "measurement of a domain outage"}
    path = f"/v1/domains/{DOMAIN}/{direction}"
    reply = await cluster.operator_request("POST", path, body)
    if reply.status >= 300:
        raise RuntimeError(f"daemon refused {path}: {reply.status} {reply.values}")
    return time.monotonic() - start_s
