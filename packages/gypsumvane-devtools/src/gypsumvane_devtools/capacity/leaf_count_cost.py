"""Control cost of an idle daemon by the number of leaves."""

from __future__ import annotations

import asyncio
from typing import ClassVar

from gypsumvane_devtools.capacity.daemon_window import measure_window
from gypsumvane_devtools.capacity.sweep import Sweep
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.measure.load_helpers import search_plan

WINDOW_S = 10.0
SETTLE_S = 10.0
REPLICAS = 2
DAEMONS = 8


class LeafCountCostSweep(Sweep):
    """Vary the number of leaves of a fixed fleet, without callers."""

    name: ClassVar[str] = "leaf_count_cost"
    unit: ClassVar[str] = "leaves"
    set_up: ClassVar[str] = (
        f"{DAEMONS} daemons, {REPLICAS} leaves per service with few records, no "
        f"callers, {WINDOW_S:g} s after {SETTLE_S:g} s; mean of one daemon"
    )
    sizes: ClassVar[tuple[int, ...]] = (80, 400, 1600, 4000)

    async def measure(self, size: int) -> dict[str, float]:
        """Measure one number of leaves."""
        index = {"services": size // REPLICAS, "records": size, "connections_max": 4}
        async with Cluster(search_plan(daemons=DAEMONS, index=index)) as cluster:
            await asyncio.sleep(SETTLE_S)
            usage = await measure_window(cluster, asyncio.sleep(WINDOW_S))
        return {
            "cpu_share": usage.cpu_s / usage.seconds,
            "resident_mb": usage.resident_mb,
            "peer_bytes_per_s": usage.peer_bytes / usage.seconds,
        }
