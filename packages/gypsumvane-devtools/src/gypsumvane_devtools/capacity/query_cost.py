"""CPU time and peer traffic of searches by the number of services asked."""

from __future__ import annotations

from typing import ClassVar

from gypsumvane_devtools.capacity.daemon_window import measure_idle
from gypsumvane_devtools.capacity.daemon_window import measure_window
from gypsumvane_devtools.capacity.sweep import Sweep
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.load_process import run_load_process
from gypsumvane_devtools.measure.load_helpers import INDEX
from gypsumvane_devtools.measure.load_helpers import load_plan
from gypsumvane_devtools.measure.load_helpers import search_plan

RATE_PER_S = 40.0
DURATION_S = 8.0


class QueryCostSweep(Sweep):
    """Vary the number of services that a search asks."""

    name: ClassVar[str] = "query_cost"
    unit: ClassVar[str] = "services per query"
    set_up: ClassVar[str] = (
        f"4 daemons, 2 leaves per service, {RATE_PER_S:g} searches/s for "
        f"{DURATION_S:g} s; summed over the daemons, less what they use idle"
    )
    sizes: ClassVar[tuple[int, ...]] = (5, 10, 20, 40)

    async def measure(self, size: int) -> dict[str, float]:
        """Measure one number of services."""
        plan = search_plan(index={"services": size})
        async with Cluster(plan) as cluster:
            await cluster.warm_up(INDEX)
            load = load_plan(cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S)
            idle = await measure_idle(cluster)
            window = await measure_window(cluster, run_load_process(load))
            daemons = len(cluster.daemons)
        usage = window.subtract_idle(idle)
        queries = RATE_PER_S * DURATION_S
        return {
            "cpu_us_per_query": usage.cpu_s * daemons / queries * 1e6,
            "peer_bytes_per_query": usage.peer_bytes * daemons / queries,
            "peer_frames_per_query": usage.peer_frames * daemons / queries,
            "idle_cpu_share": idle.cpu_s / idle.seconds,
            "idle_peer_bytes_per_s": idle.peer_bytes / idle.seconds,
        }
