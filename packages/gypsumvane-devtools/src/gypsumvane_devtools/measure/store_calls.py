"""Calls to the store, independent of the query rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.load_plan import LoadKind
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import INDEX
from gypsumvane_devtools.measure.load_helpers import bookings_index
from gypsumvane_devtools.measure.load_helpers import run_load
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.cluster import Cluster
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

DAEMONS = 8
WINDOW_S = 10.0
SEARCHES_PER_S = 40.0
BOOKINGS_PER_S = 60.0
# Searches must not add calls; idle traffic alone differs by a few calls
# between two windows.
NOISE_SHARE = 0.1


class StoreCallsExperiment(Experiment):
    """Count store calls while idle, under searches and under bookings."""

    name: ClassVar[str] = "store_calls"
    target: ClassVar[str] = (
        "per second and daemon, waiting watches counted, independent of query rate; "
        "bookings' writes grouped"
    )
    set_up: ClassVar[str] = (
        f"{DAEMONS} daemons in 4 domains; {WINDOW_S:g} s idle, then "
        f"{SEARCHES_PER_S:g} searches/s, then {BOOKINGS_PER_S:g} bookings/s with "
        "callers' own keys"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run once."""
        async with warm_cluster(store_plan()) as cluster:
            idle = await calls_during(cluster, asyncio.sleep(WINDOW_S))
            searches = run_load(
                cluster, rate_per_s=SEARCHES_PER_S, duration_s=WINDOW_S, seed=number + 1
            )
            searching = await calls_during(cluster, searches)
            runs = run_load(
                cluster,
                index="bookings",
                kind=LoadKind.RUN,
                rate_per_s=BOOKINGS_PER_S,
                duration_s=WINDOW_S,
                deadline_ms=3000,
                seed=number + 1,
            )
            booking = await calls_during(cluster, runs)
            counters = await cluster.store.get("/control/counters")
        per_s = WINDOW_S * DAEMONS
        return {
            "idle_calls_per_s_daemon": sum(idle.values()) / per_s,
            "search_calls_per_s_daemon": sum(searching.values()) / per_s,
            "booking_calls_per_s_daemon": sum(booking.values()) / per_s,
            "waiting_watches_max": counters["waiting_watches_max"],
            "writes_per_booking": booking.get("put", 0) / (BOOKINGS_PER_S * WINDOW_S),
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        idle = table.median(CURRENT, "idle_calls_per_s_daemon")
        searching = table.median(CURRENT, "search_calls_per_s_daemon")
        writes = table.highest(CURRENT, "writes_per_booking")
        return [
            at_most(
                "calls/s and daemon under searches, bound: idle plus noise",
                searching,
                round(idle * (1 + NOISE_SHARE), 4),
            ),
            # Ungrouped, a booking needs one write for the claim and one for the result.
            at_most("writes per booking, bound: ungrouped", writes, 2.0),
        ]


def store_plan() -> ClusterPlan:
    """Return a cluster with a search index and a ledger."""
    ledger = bookings_index()
    indexes = [IndexPlan(name=INDEX, services=4), ledger]
    return ClusterPlan(indexes=indexes, daemons=DAEMONS)


async def calls_during(cluster: Cluster, work: Any) -> dict[str, int]:
    """Return the store calls by kind while some work is done."""
    before = (await cluster.store.get("/control/counters"))["calls"]
    await work
    after = (await cluster.store.get("/control/counters"))["calls"]
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}
