"""Tests of the home role against the simulated leaf, which counts overload."""

from __future__ import annotations

import asyncio
import unittest

from daemon_settings import daemon_settings
from fake_service import kernel_of
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialRequest
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.upstream_service import UpstreamService
from gypsumvane_devtools.leaf import Leaf
from gypsumvane_devtools.leaf_server import LeafServer
from gypsumvane_devtools.leaf_settings import ColdSettings
from gypsumvane_devtools.leaf_settings import LeafSettings
from gypsumvane_devtools.leaf_settings import ServiceTime
from gypsumvane_devtools.run_ledger import RunLedger
from upstream_fakes import FakeDocuments
from upstream_fakes import FakeMembership

CLIENT_COUNT = 6
# The baseline follows a fall by a tenth with each answer.
LOW_LOAD_SEARCHES = 40


class ColdLeafTest(unittest.IsolatedAsyncioTestCase):
    """Send more requests than a leaf has slots while it turns cold."""

    async def asyncSetUp(self) -> None:
        leaf_settings = LeafSettings(
            leaf_id="leaf-1",
            index="stock",
            service="shelf",
            failure_domain="a",
            partition_maps={1: ["shelf"]},
            cold=ColdSettings(rate_per_s=60, good_answers=8),
            # A constant service time makes every answer of the cold leaf slow.
            service_time=ServiceTime(sigma=0),
        )
        self.leaf = Leaf(leaf_settings, RunLedger())
        self.server = LeafServer(self.leaf)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        identity = DaemonIdentity(settings=daemon_settings())
        documents = FakeDocuments()
        documents.put_policy(cold_spacing_ms=20, warm_good_answers=10)
        documents.put(
            "index/stock",
            {
                "name": "stock",
                "kind": "search",
                "leaves": [
                    {
                        "leaf_id": "leaf-1",
                        "service": "shelf",
                        "failure_domain": "a",
                        "address": self.server.address,
                        "slots": leaf_settings.slots,
                        "connections_max": leaf_settings.connections_max,
                    }
                ],
                "partition_maps": {1: ["shelf"]},
            },
        )
        self.service = UpstreamService(identity, SystemClock())
        kernel = kernel_of(
            MetricsService(),
            PeerNetwork(identity),
            documents,
            FakeMembership(),
            self.service,
        )
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        self.attempt = 0
        self.answered = 0

    async def search_until(self, state: str) -> None:
        """Keep the queue full until the leaf reaches a state."""
        async with asyncio.timeout(20):
            await asyncio.gather(*(self._search(state) for _ in range(CLIENT_COUNT)))

    async def _search(self, state: str) -> None:
        while True:
            self.attempt += 1
            request = PartialRequest(self.attempt, "shelf", "leaf-1")
            batch = PartialBatch(
                query_id=f"query-{self.attempt}",
                index="stock",
                route="search",
                snapshot=1,
                deadline_left_ms=500,
                query=b'{"query": "speaker", "limit": 3}',
                requests=[request],
            )
            result = await self.service.run_partial(batch, request)
            self.answered += result.kind == "answered"
            brief = self.service.briefs.get("leaf-1")
            if brief is not None and brief.state == state:
                return
            # Refusals return immediately, so pause between attempts.
            await asyncio.sleep(0.002)

    def check_counters(self) -> None:
        """Check that the leaf counted no call beyond what it can handle."""
        counters = self.leaf.counters
        self.assertEqual((counters.cold_excess, counters.falls), (0, 0))
        self.assertLessEqual(counters.running_max, self.leaf.settings.slots)
        self.assertEqual(counters.connections_refused, 0)

    async def test_new_leaf_and_restarted_leaf(self) -> None:
        """Guard against full load on a new upstream process, which is cold."""
        await self.search_until("warm")
        self.check_counters()
        self.leaf.restart(outage_s=0.3)
        await self.search_until("unavailable")
        await self.search_until("warm")
        self.check_counters()
        self.assertEqual(self.leaf.counters.cold_excess_unwarned, 0)

    async def test_slow_answer_under_low_load_is_checked(self) -> None:
        """Guard against full load on a leaf whose slow answers were ignored."""
        await self.search_until("warm")
        # The usual service time under low load; the queue of a busy machine is part
        # of that under full load, and may hide the slowness of a cold leaf.
        for _ in range(LOW_LOAD_SEARCHES):
            await self._search("warm")
        self.leaf.turn_cold(new_boot_id=False)
        await asyncio.wait_for(self._search("cold"), 20)
        await self.search_until("warm")
        self.check_counters()

    async def test_leaf_that_turns_cold_without_warning(self) -> None:
        """Guard against calls beyond those in progress at the first slow answer."""
        await self.search_until("warm")
        self.leaf.turn_cold(new_boot_id=False)
        await self.search_until("cold")
        await self.search_until("warm")
        self.check_counters()
        unwarned = self.leaf.counters.cold_excess_unwarned
        self.assertLessEqual(unwarned, self.leaf.settings.slots)
