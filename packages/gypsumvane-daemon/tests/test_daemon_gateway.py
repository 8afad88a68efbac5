"""Tests of the root role with fake services."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gateway_fakes import OWN_VM
from gateway_fakes import GatewayFixture
from gateway_fakes import hits_body
from gateway_fakes import index_body
from gypsumvane_core.index_routes import MoveChoice
from gypsumvane_core.index_routes import VersionChoice
from gypsumvane_core.key_service import service_of_key
from gypsumvane_core.query_answer import AnswerOutcome
from gypsumvane_core.query_answer import LookupAnswer
from gypsumvane_core.query_answer import SearchAnswer
from gypsumvane_core.query_request import LookupRequest
from gypsumvane_core.query_request import SearchRequest
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from waiting import wait_until


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run a gateway with fake services."""

    async def asyncSetUp(self) -> None:
        self.fixture = GatewayFixture()
        await self.fixture.kernel.start()
        self.addAsyncCleanup(self.fixture.kernel.stop)
        self.fixture.apply_index(index_body())

    async def search(self, *, wait_s: float = 1.0, **kwargs: int) -> SearchAnswer:
        return await self.fixture.gateway.search(
            SearchRequest(
                request_id="r1",
                index="stock",
                query="speakers",
                deadline_s=self.fixture.clock.monotonic_s() + wait_s,
                **kwargs,
            )
        )

    async def lookup(self, key: str) -> LookupAnswer:
        return await self.fixture.gateway.lookup(
            LookupRequest(
                request_id="r2",
                index="ledger",
                key=key,
                deadline_s=self.fixture.clock.monotonic_s() + 1.0,
            )
        )


class GatewaySearchTest(GatewayTestCase):
    """Check what a search sends, accepts and returns."""

    async def test_hits_of_all_services_are_merged(self) -> None:
        """Guard against a page that misses hits or orders them wrongly."""
        for number, hits in enumerate(
            [(("c", 2.0), ("a", 1.0)), (("b", 2.0),), (("d", 3.0),)]
        ):
            for leaf in self.fixture.leaves_of(f"s{number}"):
                leaf.body = hits_body(*hits)
        answer = await self.search(limit=2, offset=1)
        self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)
        self.assertEqual([hit["id"] for hit in answer.hits], ["b", "c"])
        self.assertEqual(answer.total, 4)
        self.assertEqual((answer.coverage.asked, answer.coverage.answered), (3, 3))

    async def test_one_batch_goes_to_each_home(self) -> None:
        """Guard against one message per leaf, and against omitted local leaves."""
        self.fixture.membership.homes = {
            f"s{number}-{replica}": OWN_VM if number == 0 else "vm-x"
            for number in range(3)
            for replica in ("a", "b")
        }
        answer = await self.search()
        self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)
        self.assertEqual([home for home, _ in self.fixture.peers.batches], ["vm-x"])

    async def test_slow_service_is_left_out_before_the_deadline(self) -> None:
        """Guard against an answer that is late or claims to be complete."""
        for leaf in self.fixture.leaves_of("s1"):
            leaf.delay_s = 30.0
        # Long enough for the other services to answer on a busy machine.
        answer = await self.search(wait_s=2.0)
        self.assertIs(answer.outcome, AnswerOutcome.PARTIAL)
        self.assertEqual(
            [(entry.service, entry.reason) for entry in answer.coverage.left_out],
            [("s1", Reason.DEADLINE)],
        )
        cancelled = [i for _, c in self.fixture.peers.cancels for i in c.attempt_ids]
        self.assertIn(2, cancelled)

    async def test_abandoned_search_is_no_evidence(self) -> None:
        """Guard against versions taken back because callers disconnect."""
        old_version = VersionChoice(version="v1", excluded="v2")
        self.fixture.moves.choice = MoveChoice(version=old_version, old=old_version)
        for leaf in self.fixture.upstreams.leaves.values():
            leaf.delay_s = 30.0
        disconnecting = asyncio.create_task(self.search(wait_s=20.0))
        await wait_until(lambda: self.fixture.asked() >= 3)
        disconnecting.cancel()
        await asyncio.gather(disconnecting, return_exceptions=True)
        self.assertGreaterEqual(len(self.fixture.peers.cancels), 1)
        self.assertEqual(self.fixture.moves.recorded, [])
        # A deadline that passes is evidence.
        await self.search(wait_s=0.2)
        self.assertIn(("v1", True), self.fixture.moves.recorded)

    async def test_lost_home_is_replaced(self) -> None:
        """Guard against services left out because one daemon was lost."""
        self.fixture.peers.lost = {"vm-a"}
        answer = await self.search()
        self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)

    async def test_missing_connection_costs_no_budget(self) -> None:
        """Guard against a retry budget spent on calls that were never sent."""
        self.fixture.peers.missing = {"vm-a"}
        for _ in range(40):
            answer = await self.search()
            self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)
        retries = self.fixture.metrics.value(
            "gateway_retries", reason="peer_unavailable"
        )
        self.assertEqual(retries, 0)

    async def test_leaves_between_two_homes_are_asked_again(self) -> None:
        """Guard against a service left out while both its leaves change homes."""
        self.fixture.membership.homes = dict.fromkeys(["s0-a", "s0-b"])
        searching = asyncio.create_task(self.search())
        while not self.fixture.metrics.value("gateway_reroutes", reason="no_home"):
            await asyncio.sleep(0)
        self.fixture.membership.homes = {}
        answer = await searching
        self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)
        self.assertEqual(
            self.fixture.metrics.value("gateway_retries", reason="no_home"), 0
        )

    async def test_crossed_results_are_dropped(self) -> None:
        """Guard against an answer that belongs to another query."""
        for leaf in self.fixture.leaves_of("s0"):
            leaf.alter = lambda result: replace(result, query_id="other")
        for leaf in self.fixture.leaves_of("s1"):
            leaf.alter = lambda result: replace(result, service="s2")
        answer = await self.search(wait_s=0.1)
        self.assertEqual(answer.coverage.answered, 1)
        for reason in ("foreign_query", "wrong_service"):
            count = self.fixture.metrics.value("gateway_results_dropped", reason=reason)
            self.assertGreater(count, 0)

    async def test_new_version_is_repeated_at_the_old_one(self) -> None:
        """Guard against retries that raise the share of a version under test."""
        body = index_body()
        body["leaves"] += [
            leaf | {"leaf_id": f"{leaf['leaf_id']}-{number}", "version": "v2"}
            for leaf in body["leaves"]
            for number in (1, 2)
            if leaf["leaf_id"].endswith("-a")
        ]
        self.fixture.apply_index(body)
        new_version = VersionChoice(version="v2")
        self.fixture.moves.choice = MoveChoice(
            version=new_version, old=VersionChoice(version="v1", excluded="v2")
        )
        new = [v for k, v in self.fixture.upstreams.leaves.items() if len(k) > 4]
        for leaf in new:
            leaf.kind, leaf.verdict, leaf.reason = "failed", "ran", "upstream_error"
        answer = await self.search()
        self.assertIs(answer.outcome, AnswerOutcome.COMPLETE)
        self.assertEqual(sum(leaf.asked for leaf in new), answer.coverage.asked)
        # At a share of 1 the old version gets no retries either.
        old = [v for k, v in self.fixture.upstreams.leaves.items() if len(k) == 4]
        asked = sum(leaf.asked for leaf in old)
        self.fixture.moves.choice = MoveChoice(version=new_version)
        await self.search()
        self.assertEqual(sum(leaf.asked for leaf in old), asked)

    async def test_version_is_chosen_once(self) -> None:
        """Guard against two contradictory version choices in one query."""
        self.fixture.apply_index(index_body())
        await self.search()
        self.assertEqual(self.fixture.moves.asked, 1)

    async def test_query_restarts_once_when_the_snapshot_is_gone(self) -> None:
        """Guard against mixed snapshots and against endless restarts."""
        self.fixture.apply_index(index_body(snapshots=(1, 2, 3)))
        for leaf in self.fixture.leaves_of("s1"):
            leaf.kind, leaf.verdict, leaf.reason = "refused", "not_run", "snapshot_gone"
        answer = await self.search()
        self.assertEqual(answer.snapshot, 2)
        left_out = [(e.service, e.reason) for e in answer.coverage.left_out]
        self.assertEqual(left_out, [("s1", Reason.SNAPSHOT_GONE)])
        restarts = self.fixture.metrics.value(
            "gateway_restarts", reason="snapshot_gone"
        )
        self.assertEqual(restarts, 1)

    async def test_refusals_of_all_leaves_are_not_run(self) -> None:
        """Guard against a false verdict when no service answers."""
        self.fixture.membership.homes = dict.fromkeys(self.fixture.upstreams.leaves)
        answer = await self.search()
        self.assertIs(answer.outcome, AnswerOutcome.REFUSED)
        self.assertIs(answer.verdict, Verdict.NOT_RUN)
        self.fixture.membership.homes = {}
        self.fixture.peers.lost = {"vm-a", "vm-b"}
        answer = await self.search()
        self.assertIs(answer.outcome, AnswerOutcome.FAILED)
        self.assertIs(answer.verdict, Verdict.MAY_HAVE_RUN)


class GatewayLookupTest(GatewayTestCase):
    """Check that a lookup is sent to the service of its key."""

    async def test_key_reaches_one_service(self) -> None:
        """Guard against lookups at a service that does not hold the key."""
        self.fixture.apply_index(index_body("ledger", kind="lookup", services=3))
        for leaf in self.fixture.upstreams.leaves.values():
            leaf.body = b'{"found": true, "record": {"name": "x"}}'
        for key in ("k1", "k2", "k3"):
            answer = await self.lookup(key)
            self.assertEqual(answer.record, {"name": "x"})
            self.assertEqual(answer.service, service_of_key(key, ["s0", "s1", "s2"]))
