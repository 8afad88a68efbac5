"""Answers come from one snapshot and state correctly what is missing."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_devtools.answer_check import is_consistent
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.cluster_plan import ProxyPlan
from tests.caller_load import HITS
from tests.caller_load import QUERIES
from tests.system_case import SystemCase
from tests.system_case import three_domain_plan

INDEX = "stock"
SERVICES = 4
DOCUMENT = f"index/{INDEX}"


class CoverageTest(SystemCase):
    """Check answers while upstreams, connections and snapshots change."""

    plan = three_domain_plan(
        IndexPlan(name=INDEX, services=SERVICES),
        fleet=FleetDocument(defaults=Policy(deadline_ms=1500)),
        proxies=ProxyPlan(leaves=True, peers=True),
    )
    warm_index = INDEX

    async def search_all(self, queries: tuple[str, ...]) -> list[dict[str, Any]]:
        """Search at all daemons concurrently and check each answer."""
        requests = [
            (f"own-{daemon}-{number}", query, daemon)
            for daemon in range(3)
            for number, query in enumerate(queries)
        ]
        replies = await asyncio.gather(
            *(
                self.cluster.request(
                    "search",
                    INDEX,
                    {"query": query, "limit": HITS},
                    daemon=daemon,
                    headers={"Request-Id": request_id},
                )
                for request_id, query, daemon in requests
            )
        )
        answers = [reply.values for reply in replies]
        for (request_id, query, _), values in zip(requests, answers, strict=True):
            self.assertEqual(values["request_id"], request_id)
            if "coverage" in values:
                self.check_answer_of_query(values, query)
        return answers

    def check_answer_of_query(self, values: dict[str, Any], query: str) -> None:
        """Check that an answer holds the hits of its query from one snapshot."""
        self.assertTrue(is_consistent(values), values)
        oracle = self.plan.indexes[0].oracle(self.plan.seed)
        self.assertTrue(oracle.is_correct(values, query, limit=HITS), values)

    async def test_lost_service_is_named(self) -> None:
        """Guard against an answer that hides a lost service (R2)."""
        for leaf in self.cluster.upstreams.leaves:
            if leaf.service == "stock-01":
                await self.cluster.upstreams.perform_action(
                    "kill", leaf_id=leaf.leaf_id
                )
        try:
            for values in await self.search_all(QUERIES):
                self.assertEqual(values["outcome"], "partial", values)
                coverage = values["coverage"]
                self.assertEqual(coverage["asked"], SERVICES)
                named = [entry["service"] for entry in coverage["left_out"]]
                self.assertEqual(named, ["stock-01"])
                self.assertTrue(coverage["left_out"][0]["reason"])
        finally:
            await self.cluster.upstreams.perform_action("start", service="stock-01")
        async with self.load(INDEX) as load:
            await load.wait_complete()
        self.check_answers(load)

    async def test_lost_replica_costs_no_coverage(self) -> None:
        """Guard against answers that stay partial after a replica is lost (R2)."""
        async with self.load(INDEX) as load:
            await self.cluster.upstreams.perform_action("kill", leaf_id="stock-02-0")
            await load.wait_answers(20)
            await load.wait_complete()
            await self.cluster.upstreams.perform_action("start", leaf_id="stock-02-0")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_straggling_service_is_named(self) -> None:
        """Guard against late results that are counted as delivered (R2, R6)."""
        slow = {"service_time": {"mean_ms": 5000.0, "sigma": 0.0}}
        await self.cluster.upstreams.update_settings(slow, service="stock-03")
        # One query per daemon, so that none waits for admission until its deadline.
        for values in await self.search_all(QUERIES[:1]):
            self.assertEqual(values["outcome"], "partial", values)
            named = [entry["service"] for entry in values["coverage"]["left_out"]]
            self.assertEqual(named, ["stock-03"])

    async def test_straggling_replica(self) -> None:
        """Guard against a slow replica that costs coverage or many extra requests."""
        straggles = {"service_time": {"straggler_share": 0.1, "straggler_factor": 10.0}}
        await self.cluster.upstreams.update_settings(straggles, leaf_id="stock-00-0")
        async with self.load(INDEX) as load:
            await load.wait_answers(400)
        self.check_answers(load)
        self.assertEqual(load.describe_incomplete(), [])
        leaf_calls = load.answers * SERVICES
        received = await self.received("search")
        self.assertLessEqual(received, 1.1 * leaf_calls)

    async def test_crossed_answers(self) -> None:
        """Guard against an answer that is delivered to another request (R6)."""
        leaves = [leaf.leaf_id for leaf in self.cluster.upstreams.leaves]
        for turn in range(3):
            for leaf_id in leaves:
                await self.add_rule(f"leaf-{leaf_id}", "hold_answers", count=2)
            searches = asyncio.create_task(self.search_all(QUERIES))
            while not searches.done():
                for leaf_id in leaves:
                    path = f"/control/links/leaf-{leaf_id}/release"
                    await self.cluster.proxy.post(path, crossed=turn != 1)
                await asyncio.sleep(0.02)
            await searches
            await self.clear_proxy_rules()
        async with self.load(INDEX) as load:
            await load.wait_complete()
        self.check_answers(load)

    async def test_held_answers_arrive_late(self) -> None:
        """Guard against a late answer that is delivered to a later request (R6)."""
        await self.add_leaf_rule("hold_answers", match="stock-")
        answers = await self.search_all(QUERIES[:2])
        self.assertNotIn("complete", [values["outcome"] for values in answers])
        for link in await self.cluster.proxy.get("/control/links"):
            if link.startswith("leaf-"):
                await self.cluster.proxy.delete(f"/control/links/{link}/rules")
                path = f"/control/links/{link}/release"
                await self.cluster.proxy.post(path, crossed=True)
        await self.search_all(QUERIES[2:])
        async with self.load(INDEX) as load:
            await load.wait_complete()
        self.check_answers(load)

    async def check_wrong_answers(
        self,
        links: list[str],
        kind: str,
        *,
        requests_after_wrong_max: int,
        **values: Any,
    ) -> None:
        """Make links deliver wrong answers and check that no caller receives one."""
        proxy = self.cluster.proxy

        async def delivered() -> bool:
            found = await proxy.get("/control/links")
            return sum(found[link]["wrong_answers"] for link in links) >= wanted

        found = await proxy.get("/control/links")
        wanted = 40 + sum(found[link]["wrong_answers"] for link in links)
        async with self.load(INDEX) as load:
            for link in links:
                await self.add_rule(link, kind, match='"hits"', count=20, **values)
            await self.until(delivered, f"{kind} delivers wrong answers")
            await self.clear_proxy_rules()
            await load.wait_complete()
        found = await proxy.get("/control/links")
        self.check_answers(load)
        # A search may already be in flight when a repeated answer arrives on its
        # connection; no further request may follow on it.
        reused = max(found[link]["after_wrong_max"] for link in links)
        self.assertLessEqual(reused, requests_after_wrong_max, kind)

    async def test_foreign_and_repeated_answers_of_leaves(self) -> None:
        """Guard against an answer to another request, also after connection reuse."""
        links = [f"leaf-{leaf.leaf_id}" for leaf in self.cluster.upstreams.leaves]
        await self.check_wrong_answers(links, "foreign", requests_after_wrong_max=0)
        await self.check_wrong_answers(links, "repeat", requests_after_wrong_max=1)
        await self.check_wrong_answers(
            links, "repeat", requests_after_wrong_max=1, delay_ms=20
        )

    async def test_swapped_and_repeated_frames(self) -> None:
        """Guard against a result that counts twice or for another query (R6)."""
        links = [f"peer-{daemon.vm_id}" for daemon in self.cluster.daemons]
        for kind in ("swap", "repeat"):
            await self.check_wrong_answers(links, kind, requests_after_wrong_max=0)

    async def test_connections_to_leaves_fail(self) -> None:
        """Guard against wrong answers after cut, lost or half-open connections."""
        for kind in ("cut_before", "cut_after", "lose_answer", "half_open"):
            async with self.load(INDEX) as load:
                await self.add_leaf_rule(kind, match="/v1/search", count=3)
                await load.wait_answers(40)
                await self.clear_proxy_rules()
                await load.wait_complete()
            self.check_answers(load)

    async def test_connections_between_daemons_fail(self) -> None:
        """Guard against wrong answers while peers lose frames (R2, R6)."""
        for kind in ("cut_before", "cut_after", "lose_answer", "half_open"):
            async with self.load(INDEX) as load:
                for number in range(3):
                    await self.add_rule(f"peer-vm-{number}", kind, count=4)
                await load.wait_answers(40)
                await self.clear_proxy_rules()
                await load.wait_complete()
            self.check_answers(load)

    async def test_refusals_are_true(self) -> None:
        """Guard against NOT_RUN after a leaf received the search (R7)."""
        await self.cluster.upstreams.perform_action("kill")
        try:
            for values in await self.search_all(QUERIES[:2]):
                self.assertNotEqual(values["outcome"], "complete")
                if values["outcome"] != "partial":
                    self.assertIn(values["verdict"], ("not_run", "may_have_run"))
            self.assertEqual(await self.received("search"), 0)
        finally:
            await self.cluster.upstreams.perform_action("start")
        async with self.load(INDEX) as load:
            await load.wait_complete()

    async def test_repartitioning(self) -> None:
        """Guard against mixed snapshots while the partition map changes (R1, R2)."""
        document = await self.document(DOCUMENT)
        body = json.loads(json.dumps(document["body"]))
        old_services = body["partition_maps"]["1"]
        new_services = old_services[:3]
        maps = {"1": old_services, "2": new_services}
        upstreams = self.cluster.upstreams
        async with self.load(INDEX) as load:
            load.oracle.partition_maps[2] = new_services
            await upstreams.update_settings({"partition_maps": maps})
            body["partition_maps"] = maps
            reply = await self.put_document(
                DOCUMENT, body, revision=document["revision"], change_id="repartition"
            )
            self.assertEqual(reply.status, 200, reply.values)
            await load.wait_answers(20)
            for service in new_services:
                await upstreams.perform_action("add_snapshot", 2, service=service)
                await load.wait_answers(10)
            await self.until(
                lambda: (2, 3) in load.complete_by_coverage, "snapshot 2 answers"
            )
            await load.wait_complete()
            # Queries pinned to the old snapshot are still in progress here.
            await upstreams.perform_action("remove_snapshot", 1)
            await load.wait_complete(60)
            await upstreams.perform_action("add_snapshot", 1)
            body["partition_maps"] = {"1": old_services}
            reply = await self.put_document(
                DOCUMENT,
                body,
                revision=document["revision"] + 1,
                change_id="repartition-back",
            )
            self.assertEqual(reply.status, 200, reply.values)
            await upstreams.perform_action("remove_snapshot", 2)
            await load.wait_complete(60)
        self.check_answers(load)
        # A complete answer covers the partition map of its own snapshot.
        self.assertLessEqual(set(load.complete_by_coverage), {(1, 4), (2, 3)})

    async def test_snapshot_removed_during_queries(self) -> None:
        """Guard against results of two snapshots in one answer (R1)."""
        upstreams = self.cluster.upstreams
        document = await self.document(DOCUMENT)
        body = document["body"]
        services = body["partition_maps"]["1"]
        maps = {"1": services, "2": services}
        await upstreams.update_settings({"partition_maps": maps})
        reply = await self.put_document(
            DOCUMENT,
            {**body, "partition_maps": maps},
            revision=document["revision"],
            change_id="second-snapshot",
        )
        self.assertEqual(reply.status, 200, reply.values)
        await upstreams.update_settings(
            {"service_time": {"mean_ms": 60.0, "sigma": 0.0}}
        )
        async with self.load(INDEX) as load:
            load.oracle.partition_maps[2] = services
            await load.wait_answers(8)
            for service in services:
                # Queries run while only some services have the new snapshot.
                await upstreams.perform_action("add_snapshot", 2, service=service)
                await upstreams.perform_action("remove_snapshot", 1, service=service)
                await load.wait_answers(4)
            await load.wait_complete()
        self.check_answers(load)
        self.assertIn((2, SERVICES), load.complete_by_coverage)
        await upstreams.perform_action("add_snapshot", 1)
        reply = await self.put_document(
            DOCUMENT,
            body,
            revision=document["revision"] + 1,
            change_id="first-snapshot-only",
        )
        self.assertEqual(reply.status, 200, reply.values)
