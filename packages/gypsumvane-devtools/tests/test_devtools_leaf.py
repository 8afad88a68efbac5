"""Tests of the simulated leaf against the contract."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import aiohttp

from gypsumvane_devtools.leaf import Leaf
from gypsumvane_devtools.leaf_server import LeafServer
from gypsumvane_devtools.leaf_settings import LeafSettings
from gypsumvane_devtools.listing import Listing
from gypsumvane_devtools.polling import wait_until
from gypsumvane_devtools.run_ledger import RunLedger

SERVICES = ["stock-0", "stock-1"]
WARM = {"good_answers": 0}
LONG_SERVICE_TIME_MS = 60_000.0


class LeafTest(unittest.IsolatedAsyncioTestCase):
    """Check limits, cold starts, drain, snapshots, cancellation and runs."""

    async def start_leaf(self, **values: Any) -> LeafServer:
        """Start a leaf; the values override settings of a warm leaf without delays."""
        settings = LeafSettings(
            leaf_id="stock-0-a",
            index="stock",
            service="stock-0",
            failure_domain="a",
            connect_ms=0,
            partition_maps={1: SERVICES},
        ).patched({"cold": WARM, "service_time": {"mean_ms": 0}, **values})
        server = LeafServer(Leaf(settings, RunLedger()))
        await server.start()
        self.addAsyncCleanup(server.stop)
        # Without a pool limit the tests decide how many connections are open.
        connector = aiohttp.TCPConnector(limit=0)
        url = f"http://{server.address}"
        self.client = aiohttp.ClientSession(url, connector=connector)
        self.addAsyncCleanup(self.client.close)
        return server

    async def call(
        self, kind: str = "search", body: Any = None, **headers: str
    ) -> aiohttp.ClientResponse:
        """Send one request; underscores in header names become dashes."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        values = body or {"query": "speaker mixer", "limit": 5}
        answer = await self.client.post(f"/v1/{kind}", json=values, headers=sent)
        await answer.read()
        return answer

    async def wait_until_running(self, leaf: Leaf, count: int = 1) -> None:
        """Return when the leaf has begun `count` requests."""
        await wait_until(lambda: leaf.counters.begun >= count, "requests begun")

    async def test_parts_add_up_to_the_whole_listing(self) -> None:
        """Guard against a partition that loses or repeats records."""
        listing = Listing("stock", "equipment", 200, 3)  # type: ignore[arg-type]
        whole = listing.search("speaker mixer", snapshot=1, limit=1000)
        parts = [
            listing.search_service(
                "speaker mixer",
                snapshot=1,
                limit=1000,
                service=service,
                services=tuple(SERVICES),
            )
            for service in SERVICES
        ]
        merged = sorted(
            (hit for part in parts for hit in part.hits),
            key=lambda hit: (-hit.score, hit.id),
        )
        self.assertGreater(whole.total, 0)
        self.assertEqual(merged, whole.hits)

    async def test_search_states_snapshot_and_request(self) -> None:
        """Guard against answers that cannot be matched to their request."""
        server = await self.start_leaf()
        answer = await self.call(Snapshot="1", Request_Id="r-1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["Snapshot"], "1")
        self.assertEqual(answer.headers["Request-Id"], "r-1")
        self.assertEqual(answer.headers["Boot-Id"], server.leaf.boot_id)
        gone = await self.call(Snapshot="2")
        self.assertEqual((gone.status, gone.headers["Verdict"]), (409, "not-run"))

    async def test_slots_bound_the_running_requests(self) -> None:
        """Guard against a leaf that runs more requests than it has slots."""
        server = await self.start_leaf(
            slots=2, queue_max=1, service_time={"mean_ms": 20}
        )
        answers = await asyncio.gather(*(self.call() for _ in range(6)))
        statuses = [answer.status for answer in answers]
        shed = [answer for answer in answers if answer.status == 503]
        self.assertIn(200, statuses)
        self.assertGreater(len(shed), 0)
        self.assertEqual({answer.headers["Verdict"] for answer in shed}, {"not-run"})
        self.assertEqual(server.leaf.counters.running_max, 2)

    async def test_connections_above_the_limit_are_refused(self) -> None:
        """Guard against a leaf that accepts any number of connections."""
        server = await self.start_leaf(
            connections_max=2, slots=2, service_time={"mean_ms": LONG_SERVICE_TIME_MS}
        )
        calls = [asyncio.create_task(self.call()) for _ in range(2)]
        await self.wait_until_running(server.leaf, 2)
        with self.assertRaises(aiohttp.ClientError):
            await self.call()
        self.assertEqual(server.leaf.counters.connections_max, 2)
        self.assertGreater(server.leaf.counters.connections_refused, 0)
        for task in calls:
            task.cancel()

    async def test_cold_leaf_crashes_above_its_capacity(self) -> None:
        """Guard against a cold leaf that survives any load."""
        server = await self.start_leaf(
            cold={"good_answers": 3, "rate_per_s": 0, "sign_grace_s": 0},
            service_time={"mean_ms": LONG_SERVICE_TIME_MS},
        )
        boot_id = server.leaf.boot_id
        first = asyncio.create_task(self.call())
        await self.wait_until_running(server.leaf)
        with self.assertRaises(aiohttp.ClientError):
            await self.call()
        with self.assertRaises(aiohttp.ClientError):
            await first
        self.assertEqual(server.leaf.counters.cold_excess, 1)
        self.assertNotEqual(server.leaf.boot_id, boot_id)
        self.assertTrue(server.leaf.down)

    async def test_restarted_leaf_refuses_connections_until_it_is_back(self) -> None:
        """Guard against connections accepted during an outage."""
        server = await self.start_leaf(cold={"good_answers": 3})
        server.leaf.restart(outage_s=0.05)
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.call()
        await wait_until(lambda: not server.leaf.down, "outage is over")
        await wait_until(self.accepts_connections, "leaf listens")
        self.assertTrue(server.leaf.cold)

    async def accepts_connections(self) -> bool:
        """Return whether the leaf answers its status call."""
        try:
            async with self.client.get("/v1/status") as answer:
                return answer.status == 200
        except aiohttp.ClientConnectorError:
            return False

    async def test_good_answers_warm_a_leaf(self) -> None:
        """Guard against a leaf that stays cold under light load."""
        server = await self.start_leaf(cold={"good_answers": 3, "rate_per_s": 0})
        for _ in range(3):
            self.assertTrue(server.leaf.cold)
            await self.call()
        self.assertFalse(server.leaf.cold)
        self.assertEqual(server.leaf.counters.cold_excess, 0)

    async def test_excess_before_the_first_sign_is_shed(self) -> None:
        """Guard against excess counted against senders that had no sign of cold."""
        server = await self.start_leaf(
            cold={"good_answers": 0, "rate_per_s": 0, "sign_grace_s": 0},
            service_time={"mean_ms": LONG_SERVICE_TIME_MS},
            slots=3,
        )
        leaf = server.leaf
        leaf.settings = leaf.settings.patched({"cold": {"good_answers": 3}})
        leaf.turn_cold(new_boot_id=False)
        first = asyncio.create_task(self.call())
        await self.wait_until_running(leaf)
        self.assertEqual((await self.call()).status, 503)
        self.assertEqual(leaf.counters.cold_excess_unwarned, 1)
        with self.assertRaises(aiohttp.ClientError):
            await self.call()
        self.assertEqual(leaf.counters.cold_excess, 1)
        with self.assertRaises(aiohttp.ClientError):
            await first

    async def test_draining_refuses_and_counts_new_work(self) -> None:
        """Guard against requests after a drain that are served or not counted."""
        server = await self.start_leaf()
        server.leaf.start_draining()
        answer = await self.call()
        self.assertEqual((answer.status, answer.headers["Draining"]), (503, "1"))
        self.assertEqual(answer.headers["Verdict"], "not-run")
        self.assertEqual(server.leaf.counters.received_while_draining, 1)

    async def test_cancelled_request_frees_its_slot(self) -> None:
        """Guard against a cancelled request that keeps running."""
        server = await self.start_leaf(
            slots=1, service_time={"mean_ms": LONG_SERVICE_TIME_MS}
        )
        running = asyncio.create_task(self.call(Request_Id="r-1"))
        await self.wait_until_running(server.leaf)
        waiting = asyncio.create_task(self.call(Request_Id="r-2"))
        await wait_until(lambda: server.leaf.status()["queued"] > 0, "queued")
        for request_id in ("r-2", "r-1"):
            await self.client.delete(f"/v1/requests/{request_id}")
        self.assertEqual((await waiting).headers["Verdict"], "not-run")
        self.assertNotIn("Verdict", (await running).headers)
        self.assertEqual(server.leaf.status()["running"], 0)

    async def test_deadline_ends_a_request(self) -> None:
        """Guard against requests that run past their deadline."""
        server = await self.start_leaf(service_time={"mean_ms": LONG_SERVICE_TIME_MS})
        late = await self.call(Deadline_Ms="0")
        self.assertEqual((late.status, late.headers["Verdict"]), (504, "not-run"))
        begun = await self.call(Deadline_Ms="5")
        self.assertEqual(begun.status, 504)
        self.assertNotIn("Verdict", begun.headers)
        self.assertEqual(server.leaf.counters.received_past_deadline, 1)

    async def test_ledger_counts_every_run(self) -> None:
        """Guard against a ledger that deduplicates repeated runs."""
        server = await self.start_leaf()
        body = {"key": "booking-1", "items": 2}
        for _ in range(2):
            await self.call("run", body, Idempotency_Key="k-1")
        self.assertEqual(server.leaf.ledger.counts(), {"k-1": 2})
        found = await (await self.call("lookup", {"key": "booking-1"})).json()
        self.assertEqual(found["record"]["items"], 2)

    async def test_bad_version_fails_on_its_route(self) -> None:
        """Guard against a fault that affects other routes."""
        await self.start_leaf(fault={"mode": "fail", "route": "run"})
        self.assertEqual((await self.call()).status, 200)
        self.assertEqual((await self.call("run", {"key": "x"})).status, 500)

    async def test_client_disconnect_does_not_stop_a_run(self) -> None:
        """Guard against a run that is cancelled when the client disconnects."""
        server = await self.start_leaf(service_time={"mean_ms": 20})
        run = asyncio.create_task(self.call("run", {"key": "x"}, Idempotency_Key="k-1"))
        await self.wait_until_running(server.leaf)
        run.cancel()
        ledger = server.leaf.ledger
        await wait_until(lambda: bool(ledger.counts()), "run took effect")
        self.assertEqual(server.leaf.ledger.counts(), {"k-1": 1})
