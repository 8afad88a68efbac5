"""Tests of the root that calls the leaves directly."""

from __future__ import annotations

import asyncio
import unittest

from gypsumvane_core.document_models import LeafModel
from gypsumvane_daemon.upstream_client import LeafAnswer
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import DirectRootPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.direct_leaf import DirectLeaf
from gypsumvane_devtools.leaf_settings import ColdSettings


class DirectLeafTest(unittest.IsolatedAsyncioTestCase):
    """Check that calls use only the daemon's share of a leaf's slots."""

    async def asyncSetUp(self) -> None:
        model = LeafModel(
            leaf_id="s-0", service="s", failure_domain="a", address="127.0.0.1:9"
        )
        self.leaf = DirectLeaf(model.model_copy(update={"slots": 8}))
        self.addAsyncCleanup(self.leaf.close)
        self.gate = asyncio.Event()
        self.running = 0
        self.leaf._client.send = self.answer  # type: ignore[method-assign]

    async def answer(self, call: LeafCall) -> LeafAnswer:
        self.running += 1
        await self.gate.wait()
        return LeafAnswer(200, b"")

    async def test_calls_stay_within_the_even_share(self) -> None:
        """Guard against a baseline that uses more slots than its share."""
        self.leaf.set_daemon_count(4)
        call = LeafCall("1", "/", b"", 1000)
        calls = [asyncio.create_task(self.leaf.send(call)) for _ in range(6)]
        await asyncio.sleep(0.01)
        self.assertEqual(self.running, 2)
        calls[2].cancel()
        self.leaf.set_daemon_count(2)
        await asyncio.sleep(0.01)
        self.assertEqual(self.running, 4)
        self.gate.set()
        ended = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(sum(isinstance(e, LeafAnswer) for e in ended), 5)
        self.assertEqual(self.running, 5)


class DirectRootTest(unittest.IsolatedAsyncioTestCase):
    """Check direct roots in the place of daemons."""

    def plan(self, retries: int) -> ClusterPlan:
        warm = ColdSettings(good_answers=0)
        return ClusterPlan(
            indexes=[IndexPlan(name="stock", services=2, cold=warm)],
            daemons=2,
            direct_roots=DirectRootPlan(retries=retries),
        )

    async def test_answers_like_a_daemon(self) -> None:
        """Guard against a baseline whose answers the load tool cannot check."""
        async with Cluster(self.plan(retries=0)) as cluster:
            reply = await cluster.search("stock", "speaker")
            self.assertEqual(reply.values["outcome"], "complete")
            self.assertEqual(reply.values["coverage"]["answered"], 2)
            reply = await cluster.run("stock", {"key": "k", "items": 1}, "key-1")
            self.assertEqual(reply.values["verdict"], "ran")
            runs = await cluster.upstreams.runs_by_key()
            self.assertEqual(runs, {"key-1": 1})

    async def test_failed_calls_are_repeated(self) -> None:
        """Guard against a baseline that does not make its three retries."""
        async with Cluster(self.plan(retries=3)) as cluster:
            await cluster.upstreams.update_settings({"fault": {"mode": "fail"}})
            reply = await cluster.search("stock", "speaker")
            self.assertEqual(reply.values["outcome"], "failed")
            self.assertEqual(await cluster.upstreams.count_begun(), 2 * (1 + 3))
