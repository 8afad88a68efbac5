"""Clusters and load shared by several experiments."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.load_plan import LoadPlan
from gypsumvane_devtools.load_process import run_load_process
from gypsumvane_devtools.sample_plans import lookup_index

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gypsumvane_devtools.load_result import LoadResult

INDEX = "stock"
COMPLETE_SERIES = "complete answers in time, share of each second"
# Experiments that do not measure cold starts use leaves that start warm; under
# this policy the daemons treat them as warm after a few answers.
WARM_POLICY = {"warm_good_answers": 2, "cold_spacing_ms": 5}
WARM_LEAVES = {"good_answers": 0}


def search_plan(
    policy: dict[str, Any] | None = None,
    *,
    daemons: int = 4,
    starts_warm: bool = True,
    index: dict[str, Any] | None = None,
    **cluster: Any,
) -> ClusterPlan:
    """Return a cluster with a search index sized like the Trust's stock."""
    stock = {"name": INDEX, "services": 20, **(index or {})}
    policy = policy or {}
    if starts_warm:
        stock["cold"] = WARM_LEAVES
        policy = {**WARM_POLICY, **policy}
    return ClusterPlan(
        indexes=[IndexPlan.model_validate(stock)],
        daemons=daemons,
        fleet=FleetDocument(defaults=Policy.model_validate(policy)),
        **cluster,
    )


def bookings_index(name: str = "bookings") -> IndexPlan:
    """Return an index for bookings, sized like the Trust's."""
    return lookup_index(
        name,
        services=3,
        replicas=2,
        slots=3,
        connections_max=100,
        non_idempotent=True,
    )


def load_plan(cluster: Cluster, **values: Any) -> LoadPlan:
    """Return load on the cluster's entry addresses."""
    defaults = {
        "index": INDEX,
        "addresses": cluster.caller_addresses(),
        "failure_domains": cluster.plan.domains,
        "deadline_ms": 1000,
    }
    return LoadPlan.model_validate({**defaults, **values})


@asynccontextmanager
async def warm_cluster(
    plan: ClusterPlan, *, index: str = INDEX
) -> AsyncIterator[Cluster]:
    """Start a cluster and search an index until its leaves are warm."""
    async with Cluster(plan) as cluster:
        await cluster.warm_up(index)
        yield cluster


async def run_load(cluster: Cluster, **values: Any) -> LoadResult:
    """Run load on the cluster's entry addresses in a separate process."""
    return await run_load_process(load_plan(cluster, **values))


@asynccontextmanager
async def running_load(
    cluster: Cluster, **values: Any
) -> AsyncIterator[asyncio.Task[LoadResult]]:
    """Run load during the block; the task is done when the block ends."""
    load_task = asyncio.create_task(run_load(cluster, **values))
    try:
        yield load_task
        await load_task
    finally:
        load_task.cancel()


def complete_by_second(result: LoadResult) -> list[float]:
    """Return the share of complete answers in time for each second of a run."""
    return [
        second.complete_in_time / second.offered if second.offered else 1.0
        for second in result.seconds
    ]


async def busiest_leaf(cluster: Cluster) -> str:
    """Return the leaf that has received the most requests."""
    counters = await cluster.upstreams.counters(index=INDEX)
    return max(counters, key=lambda leaf_id: counters[leaf_id]["begun"])


async def searches_received(cluster: Cluster) -> int:
    """Return the partial searches that all leaves received."""
    counters = await cluster.upstreams.counters()
    return sum(values["received"].get("search", 0) for values in counters.values())


async def counter_max(cluster: Cluster, name: str, **select: str) -> float:
    """Return the highest value of a counter over the selected leaves."""
    counters = await cluster.upstreams.counters(**select)
    return max((float(values[name]) for values in counters.values()), default=0.0)


async def counter_sum(cluster: Cluster, name: str, **select: str) -> float:
    """Return the sum of a counter over the selected leaves."""
    counters = await cluster.upstreams.counters(**select)
    return float(sum(values[name] for values in counters.values()))
