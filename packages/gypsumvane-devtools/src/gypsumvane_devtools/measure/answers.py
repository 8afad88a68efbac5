"""Correctness of answers while a proxy delays, repeats and misroutes them."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ProxyPlan
from gypsumvane_devtools.load_process import run_load_process
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import INDEX
from gypsumvane_devtools.measure.load_helpers import load_plan
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.results import BASELINE
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_least
from gypsumvane_devtools.measure.results import at_most
from gypsumvane_devtools.measure.version_move import start_move

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

SERVICES = 4
RATE_PER_S = 60.0
DURATION_S = 25.0
MOVE_DURATION_S = 18.0
FAULT_INTERVAL_S = 0.1
FAULTS: list[dict[str, Any]] = [
    {"kind": "foreign", "count": 2},
    {"kind": "repeat", "count": 2},
    {"kind": "repeat", "count": 2, "delay_ms": 20},
    {"kind": "swap", "count": 2},
    {"kind": "hold_answers", "count": 2},
    {"kind": "delay", "count": 2, "delay_ms": 300},
]
# Text of answers with hits; status reports and refusals pass unchanged.
HITS_PATTERN = '"hits"'
WRONG_DELIVERIES = "answers delivered to the wrong request"


class AnswersExperiment(Experiment):
    """Search while the proxy sends wrong answers and the index changes."""

    name: ClassVar[str] = "answers"
    target: ClassVar[str] = (
        "crossed, late, repeated, foreign answers delivered to the wrong request: 0; "
        "mixed snapshots 0, untrue coverage 0, also during repartitioning and a "
        "version move"
    )
    baseline: ClassVar[str] = "the same load and changes without faults"
    set_up: ClassVar[str] = (
        f"{SERVICES} services with 2 leaves of each version, 4 daemons, "
        f"{RATE_PER_S:g} searches/s for {DURATION_S:g} s; every "
        f"{FAULT_INTERVAL_S:g} s a fault (foreign, repeated, swapped, held and "
        "delayed answers) on a random leaf or peer link; meanwhile a new snapshot, "
        "one service fewer, the old snapshot removed, a version move of "
        f"{MOVE_DURATION_S:g} s"
    )
    rounds: ClassVar[int] = 2

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        index = {"services": SERVICES, "new_replicas": 2}
        proxies = ProxyPlan(leaves=True, peers=True)
        async with Cluster(search_plan(index=index, proxies=proxies)) as cluster:
            await cluster.warm_up(INDEX)
            names = cluster.plan.indexes[0].service_names()
            oracle = cluster.plan.indexes[0].oracle(cluster.plan.seed)
            oracle.partition_maps.update({2: names, 3: names[:-1]})
            load = load_plan(
                cluster,
                rate_per_s=RATE_PER_S,
                duration_s=DURATION_S,
                seed=number + 1,
                oracle=oracle,
            )
            load_task = asyncio.create_task(run_load_process(load))
            changing = asyncio.create_task(change_index(cluster, oracle.partition_maps))
            if variant == CURRENT:
                await inject_faults(cluster, load_task, random.Random(number))
            result = await load_task
            await changing
            links = await cluster.proxy.get("/control/links")
        return {
            "offered": result.offered,
            "wrong_deliveries": result.foreign_answers + result.wrong_hits,
            "mixed_snapshots": result.mixed_snapshots,
            "untrue_coverage": result.untrue_coverage,
            "faulty_answers": sum(link["wrong_answers"] for link in links.values()),
            "reuse_max": max(link["after_wrong_max"] for link in links.values()),
            "complete_share": result.complete_in_time_share(),
            "partial": result.outcomes.get("partial", 0),
            "p50_ms": result.latency_ms["p50"],
            "p99_ms": result.latency_ms["p99"],
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        faulty = table.lowest(CURRENT, "faulty_answers")
        checks = [at_least("wrong answers that the proxy sent", faulty, 100)]
        for variant in (CURRENT, BASELINE):
            for text, key in (
                (WRONG_DELIVERIES, "wrong_deliveries"),
                ("mixed snapshots", "mixed_snapshots"),
                ("untrue coverage", "untrue_coverage"),
            ):
                value = table.highest(variant, key)
                checks.append(at_most(f"{text} ({variant})", value, 0))
        return checks


async def inject_faults(
    cluster: Cluster, load_task: asyncio.Task[Any], rng: random.Random
) -> None:
    """Inject faults on random links until the load has ended."""
    proxy = cluster.proxy
    names = list(await proxy.get("/control/links"))
    # A used-up rule is removed when its link is chosen again.
    for fault in itertools.cycle(FAULTS):
        if load_task.done():
            break
        path = f"/control/links/{rng.choice(names)}"
        await proxy.delete(f"{path}/rules")
        await proxy.post(f"{path}/rules", match=HITS_PATTERN, **fault)
        await asyncio.sleep(FAULT_INTERVAL_S)
        await proxy.post(f"/control/links/{rng.choice(names)}/release", crossed=True)
    for name in names:
        await proxy.delete(f"/control/links/{name}/rules")


async def change_index(cluster: Cluster, maps: dict[int, list[str]]) -> None:
    """Start a version move, add a snapshot, repartition and remove snapshots."""
    upstreams = cluster.upstreams
    await upstreams.update_settings(
        {"partition_maps": {str(number): names for number, names in maps.items()}}
    )
    await start_move(cluster, MOVE_DURATION_S)
    path = f"/v1/documents/index/{INDEX}"
    for snapshot in (2, 3):
        document = (await cluster.operator_request("GET", path)).values
        body = json.loads(json.dumps(document["body"]))
        body["partition_maps"][str(snapshot)] = maps[snapshot]
        change = {
            "change_id": f"snapshot-{snapshot}",
            "author": "measure",
            "reason": "measurement of changing snapshots",
            "expected_revision": document["revision"],
            "body": body,
        }
        reply = await cluster.operator_request("PUT", path, change)
        if reply.status >= 300:
            raise RuntimeError(f"daemon refused {path}: {reply.status} {reply.values}")
        for service in maps[snapshot]:
            await upstreams.perform_action("add_snapshot", snapshot, service=service)
            await asyncio.sleep(1.0)
        await upstreams.perform_action("remove_snapshot", snapshot - 1)
        await asyncio.sleep(3.0)
