"""Resource usage of the daemons of a cluster during a time window."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import aiohttp

from gypsumvane_devtools.capacity.process_usage import read_usage
from gypsumvane_devtools.daemon_process import OPERATOR_TOKEN

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from gypsumvane_devtools.cluster import Cluster
    from gypsumvane_devtools.daemon_process import DaemonProcess

# Excludes reconnections and first briefs after a start from the idle cost.
IDLE_SETTLE_S = 3.0
IDLE_WINDOW_S = 10.0
GAUGES = ("peer_sent_frames", "peer_sent_bytes")


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """Hold the mean usage of one daemon."""

    seconds: float
    cpu_s: float
    resident_mb: float
    peer_frames: float
    peer_bytes: float
    store_calls: float

    def subtract_idle(self, idle: WindowUsage) -> WindowUsage:
        """Return the usage above that of an idle daemon in the same time."""
        share = self.seconds / idle.seconds
        return replace(
            self,
            cpu_s=self.cpu_s - idle.cpu_s * share,
            resident_mb=self.resident_mb - idle.resident_mb,
            peer_frames=self.peer_frames - idle.peer_frames * share,
            peer_bytes=self.peer_bytes - idle.peer_bytes * share,
            store_calls=self.store_calls - idle.store_calls * share,
        )


@dataclass(frozen=True, slots=True)
class _Totals:
    cpu_s: float
    resident_bytes: int
    peer_frames: float
    peer_bytes: float
    store_calls: int


async def measure_window(cluster: Cluster, work: Awaitable[object]) -> WindowUsage:
    """Return the mean usage of a daemon while some work is done."""
    before = await _totals(cluster)
    start_s = time.monotonic()
    await work
    seconds = time.monotonic() - start_s
    after = await _totals(cluster)
    daemons = len(cluster.daemons)
    return WindowUsage(
        seconds=seconds,
        cpu_s=(after.cpu_s - before.cpu_s) / daemons,
        resident_mb=after.resident_bytes / daemons / 1e6,
        peer_frames=(after.peer_frames - before.peer_frames) / daemons,
        peer_bytes=(after.peer_bytes - before.peer_bytes) / daemons,
        store_calls=(after.store_calls - before.store_calls) / daemons,
    )


async def measure_idle(cluster: Cluster) -> WindowUsage:
    """Return the mean usage of an idle daemon, for ``subtract_idle``.

    Heartbeats, watches and polls do not depend on the load; a sweep over a load
    would otherwise count them as part of its cost.
    """
    await asyncio.sleep(IDLE_SETTLE_S)
    return await measure_window(cluster, asyncio.sleep(IDLE_WINDOW_S))


async def _totals(cluster: Cluster) -> _Totals:
    usages = [read_usage(daemon.process.pid) for daemon in cluster.daemons]
    async with aiohttp.ClientSession() as session:
        gauges = await asyncio.gather(
            *(_read_gauges(session, daemon) for daemon in cluster.daemons)
        )
    counters = await cluster.store.get("/control/counters")
    return _Totals(
        cpu_s=sum(usage.cpu_s for usage in usages),
        resident_bytes=sum(usage.resident_bytes for usage in usages),
        peer_frames=sum(values[GAUGES[0]] for values in gauges),
        peer_bytes=sum(values[GAUGES[1]] for values in gauges),
        store_calls=sum(counters["calls"].values()),
    )


async def _read_gauges(
    session: aiohttp.ClientSession, daemon: DaemonProcess
) -> dict[str, float]:
    url = f"http://{daemon.addresses.operators}/metrics"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with session.get(url, headers=headers) as answer:
        answer.raise_for_status()
        text = await answer.text()
    found = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        base_name = name.partition("{")[0]
        if base_name in GAUGES:
            found[base_name] = float(value)
    return found
