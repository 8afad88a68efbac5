"""Tests of the cluster harness without daemons."""

from __future__ import annotations

import os
import tomllib
import unittest

from gypsumvane_core.document_models import IndexDocument
from gypsumvane_daemon.settings import Settings
from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.cluster_plan import ProxyPlan
from gypsumvane_devtools.daemon_process import DaemonProcess
from gypsumvane_devtools.toml_text import to_toml

STOCK = IndexPlan(name="stock", services=2)
SEARCH = "/v1/search"


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Check the stand-ins, documents and settings prepared for daemons."""

    async def test_documents_name_reachable_leaves(self) -> None:
        """Guard against index documents that daemons cannot use."""
        plan = ClusterPlan(indexes=[STOCK], daemons=0, proxies=ProxyPlan(leaves=True))
        async with Cluster(plan) as cluster:
            path = "/v1/objects/config/documents/index/stock"
            stored = await cluster.store.get(path)
            document = IndexDocument.model_validate(stored["body"])
            for leaf in document.leaves:
                body = {"query": "speaker"}
                reply = await cluster.client.call("POST", leaf.address, SEARCH, body)
                self.assertEqual(reply.status, 200)
            counters = await cluster.upstreams.counters(service="stock-00")
            self.assertEqual(sorted(counters), ["stock-00-0", "stock-00-1"])
            self.assertEqual({c["begun"] for c in counters.values()}, {1})

    async def test_leaves_share_the_records_of_a_ledger(self) -> None:
        """Guard against a record that only the leaf that created it finds."""
        async with Cluster(ClusterPlan(indexes=[STOCK], daemons=0)) as cluster:
            processes = cluster.upstreams.processes
            leaves = [
                address
                for entry in processes.values()
                for address in entry.announcement["leaves"].values()
            ]
            self.assertGreater(len(processes), 1)
            call = cluster.client.call
            for address in leaves[:2]:
                await call("POST", address, "/v1/run", {"key": f"r-{address}"})
            for written, asked in zip(leaves[:2], leaves[-2:], strict=True):
                body = {"key": f"r-{written}"}
                reply = await call("POST", asked, "/v1/lookup", body)
                self.assertTrue(reply.values["found"])

    async def test_processes_end_with_the_cluster(self) -> None:
        """Guard against processes that outlive a failed test."""
        with self.assertRaises(RuntimeError):
            async with Cluster(ClusterPlan(indexes=[STOCK], daemons=0)) as cluster:
                upstreams = cluster.upstreams.processes.values()
                pids = [entry.process.pid for entry in upstreams]
                raise RuntimeError
        for pid in [*pids, cluster.store.process.pid]:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)

    async def test_daemon_settings_are_valid(self) -> None:
        """Guard against a settings file that the daemon rejects."""
        async with Cluster(ClusterPlan(indexes=[STOCK], daemons=0)) as cluster:
            daemon = DaemonProcess("vm-0", "a", cluster.directory)
            daemon.configure(
                store_address=cluster.store.address,
                live_list_address=cluster.live_list.address,
                seed_addresses=[daemon.addresses.peers],
                overrides={"entry": {"keep_ms": 500}},
            )
        values = tomllib.loads(to_toml(daemon.settings))
        settings = Settings.model_validate(values)
        self.assertEqual(settings.entry.keep_ms, 500)
        self.assertEqual(settings.membership.seed_addresses, [daemon.addresses.peers])
