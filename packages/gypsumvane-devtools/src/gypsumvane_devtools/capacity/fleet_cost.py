"""Control cost of an idle daemon by the number of daemons."""

from __future__ import annotations

import asyncio
import statistics
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.capacity.daemon_window import measure_window
from gypsumvane_devtools.capacity.sweep import Sweep
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.measure.load_helpers import search_plan

if TYPE_CHECKING:
    from gypsumvane_devtools.capacity.daemon_window import WindowUsage

WINDOW_S = 10.0
# The median of several windows excludes bursts of other work on the machine.
WINDOWS = 3
SETTLE_S = 8.0


class FleetCostSweep(Sweep):
    """Vary the number of daemons, without callers."""

    name: ClassVar[str] = "fleet_cost"
    unit: ClassVar[str] = "daemons"
    set_up: ClassVar[str] = (
        f"4 services x 2 leaves, no callers, {SETTLE_S:g} s to settle; mean of one "
        f"daemon, median of {WINDOWS} windows of {WINDOW_S:g} s"
    )
    sizes: ClassVar[tuple[int, ...]] = (4, 8, 16, 32, 64)

    async def measure(self, size: int) -> dict[str, float]:
        """Measure one number of daemons."""
        plan = search_plan(daemons=size, index={"services": 4})
        async with Cluster(plan) as cluster:
            await asyncio.sleep(SETTLE_S)
            windows = [
                _rates(await measure_window(cluster, asyncio.sleep(WINDOW_S)))
                for _ in range(WINDOWS)
            ]
        return {
            name: statistics.median(window[name] for window in windows)
            for name in windows[0]
        }


def _rates(usage: WindowUsage) -> dict[str, float]:
    return {
        "cpu_share": usage.cpu_s / usage.seconds,
        "resident_mb": usage.resident_mb,
        "peer_bytes_per_s": usage.peer_bytes / usage.seconds,
        "peer_frames_per_s": usage.peer_frames / usage.seconds,
        "store_calls_per_s": usage.store_calls / usage.seconds,
    }
