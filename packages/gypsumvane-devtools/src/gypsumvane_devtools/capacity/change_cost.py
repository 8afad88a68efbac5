"""Cost of configuration changes by their rate."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import ClassVar

from gypsumvane_devtools.capacity.daemon_window import measure_idle
from gypsumvane_devtools.capacity.daemon_window import measure_window
from gypsumvane_devtools.capacity.sweep import Sweep
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.measure.load_helpers import search_plan

WINDOW_S = 10.0
DAEMONS = 8


class ChangeCostSweep(Sweep):
    """Vary the rate at which the fleet document changes."""

    name: ClassVar[str] = "change_cost"
    unit: ClassVar[str] = "changes per second"
    set_up: ClassVar[str] = (
        f"{DAEMONS} daemons, 4 services x 2 leaves, {WINDOW_S:g} s; mean of one "
        "daemon, less what it uses idle"
    )
    sizes: ClassVar[tuple[int, ...]] = (1, 4, 16)

    async def measure(self, size: int) -> dict[str, float]:
        """Measure one rate of changes."""
        plan = search_plan(daemons=DAEMONS, index={"services": 4})
        async with Cluster(plan) as cluster:
            idle = await measure_idle(cluster)
            window = await measure_window(cluster, self._change(cluster, size))
        usage = window.subtract_idle(idle)
        return {
            "cpu_share": usage.cpu_s / usage.seconds,
            "peer_bytes_per_s": usage.peer_bytes / usage.seconds,
            "store_calls_per_s": usage.store_calls / usage.seconds,
            "idle_cpu_share": idle.cpu_s / idle.seconds,
            "idle_peer_bytes_per_s": idle.peer_bytes / idle.seconds,
        }

    async def _change(self, cluster: Cluster, rate_per_s: int) -> None:
        for number in range(int(rate_per_s * WINDOW_S)):
            pause = asyncio.create_task(asyncio.sleep(1 / rate_per_s))
            await change_fleet(cluster, number)
            await pause


async def change_fleet(cluster: Cluster, number: int) -> None:
    """Change the fleet document once.

    Raises RuntimeError when the daemon refuses the change.
    """
    body = {
        "change_id": f"capacity-{number}",
        "reason": "measurement of the cost of changes",
        "expected_revision": number + 1,
        "body": {"defaults": {"page_size_max": 100 + number}},
    }
    reply = await cluster.operator_request("PUT", "/v1/documents/fleet", body)
    if reply.status >= HTTPStatus.MULTIPLE_CHOICES:
        raise RuntimeError(f"daemon refused the change: {reply.status} {reply.values}")
