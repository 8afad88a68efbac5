"""Crowds of clients that break the limits of a heartbeat daemon, one at a time.

``tests/run_all.py`` runs these tests alone, after all others. The crowds and the
bounds are fixed: the memory and the descriptors in the settings of the process.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import ClientError

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.crowd_process import CrowdPlan
from gypsumvane_devtools.crowd_process import running_crowd
from gypsumvane_devtools.process_usage import watched_usage
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from gypsumvane_devtools.client_crowd import CrowdCounts

MIB = 2**20
MEMORY_MB = 150
DESCRIPTORS = 400
SEARCH_PATH = "/v1/indexes/stock/search"
# Largest body that the listener for callers accepts.
BODY_BYTES_MAX = 65_536
HEADERS = ("Request-Id: crowd-{number}",)
# Largest frame between daemons.
FRAME_BYTES_MAX = MIB
PLAN = ClusterPlan(
    indexes=[IndexPlan(name="stock", services=1, replicas=1)],
    daemons=1,
    domains=["a"],
    daemon_settings={
        "process": {"memory_mb": MEMORY_MB, "descriptors_max": DESCRIPTORS}
    },
)


class DaemonCrowdCase(SystemCase):
    """Restart the daemon before each test, play a crowd and check the bounds."""

    plan = PLAN

    def setUp(self) -> None:
        """Start the daemon anew, so that its greatest memory is that of the test."""
        super().setUp()
        self.runner.run(self.restart())

    async def restart(self) -> None:
        """Kill the daemon and start it again."""
        await self.cluster.kill_daemon(0, vm_lost=False)
        await self.cluster.start_daemon(0)

    async def play(
        self,
        address: str,
        kind: str,
        count: int,
        size_bytes: int = 0,
        path: str = SEARCH_PATH,
    ) -> CrowdCounts:
        """Let a crowd stay until a search is answered and return its counts."""
        process = self.cluster.daemons[0].process
        plan = CrowdPlan(kind, address, count, size_bytes, path, HEADERS)
        async with running_crowd(plan) as crowd, watched_usage(process.pid) as usage:
            await crowd.settle()
            await self.until(self.ordinary_request, "a search is answered")
            counts = await crowd.leave()
        self.assertTrue(process.running)
        self.assertLess(usage.memory_bytes, MEMORY_MB * MIB)
        self.assertLessEqual(usage.descriptors, DESCRIPTORS)
        self.assertEqual(counts.connected + counts.refused, count)
        return counts

    async def ordinary_request(self) -> bool:
        """Return whether a search is answered completely."""
        try:
            reply = await self.cluster.search("stock", "speaker")
        except (ClientError, OSError):
            return False
        return bool(reply.values.get("outcome") == "complete")


class HttpListenerCrowds:
    """Crowds that each HTTP listener has to bear."""

    @property
    def address(self) -> str:
        """Return the address of the listener."""
        raise NotImplementedError

    async def test_silent_connections(self: Any) -> None:
        """Guard against descriptors that connections without a request keep."""
        await self.play(self.address, "silent", 500)

    async def test_empty_lines(self: Any) -> None:
        """Guard against bytes before a request that are parsed without end."""
        counts = await self.play(self.address, "empty_lines", 20)
        self.assertEqual(counts.closed_by_server, 20)

    async def test_head_of_fields_without_end(self: Any) -> None:
        """Guard against a head of short fields that is read without end."""
        counts = await self.play(self.address, "endless_fields", 50)
        self.assertEqual(counts.closed_by_server, 50)

    async def test_field_without_end(self: Any) -> None:
        """Guard against a field of a head that is read without end."""
        counts = await self.play(self.address, "endless_field", 50)
        self.assertEqual(counts.closed_by_server, 50)


class CallerListenerTest(HttpListenerCrowds, DaemonCrowdCase):
    """Crowds at the listener for callers."""

    @property
    def address(self) -> str:
        """Return the address of the listener."""
        return self.cluster.daemons[0].addresses.callers

    async def test_heads_that_stop(self) -> None:
        """Guard against descriptors that unfinished heads keep."""
        await self.play(self.address, "stopped_head", 500, 4000)

    async def test_bodies_in_small_chunks(self) -> None:
        """Guard against small pieces that take many times their size."""
        await self.play(self.address, "small_chunks", 100, 262_144)

    async def test_bodies_that_stop_before_their_end(self) -> None:
        """Guard against bodies of legal size that keep descriptors and memory."""
        await self.play(self.address, "short_body", 500, BODY_BYTES_MAX)


class OperatorListenerTest(HttpListenerCrowds, DaemonCrowdCase):
    """Crowds at the listener for operators."""

    @property
    def address(self) -> str:
        """Return the address of the listener."""
        return self.cluster.daemons[0].addresses.operators

    async def test_bodies_in_small_chunks(self) -> None:
        """Guard against small pieces that take many times their size."""
        await self.play(self.address, "small_chunks", 100, 262_144, "/v1/vms")


class PeerListenerTest(DaemonCrowdCase):
    """Crowds at the listener for peers."""

    @property
    def address(self) -> str:
        """Return the address of the listener."""
        return self.cluster.daemons[0].addresses.peers

    async def test_silent_connections(self) -> None:
        """Guard against descriptors that connections without a frame keep."""
        await self.play(self.address, "silent", 500)

    async def test_frames_that_stop_before_their_end(self) -> None:
        """Guard against frames of legal size that together exceed the memory."""
        await self.play(self.address, "long_frame", 150, FRAME_BYTES_MAX)


if __name__ == "__main__":
    unittest.main()
