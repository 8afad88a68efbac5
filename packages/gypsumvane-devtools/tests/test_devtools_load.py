"""Tests of the load tool."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from aiohttp import web

from gypsumvane_devtools.answer_check import check_answer
from gypsumvane_devtools.load import arrivals
from gypsumvane_devtools.load import run_load
from gypsumvane_devtools.load_plan import LoadPlan
from gypsumvane_devtools.load_process import run_load_processes
from gypsumvane_devtools.load_result import LoadResult
from gypsumvane_devtools.stand_in import start_site

UNREACHABLE_ADDRESS = "127.0.0.1:9"


def search_answer(request_id: str, **changes: Any) -> dict[str, Any]:
    """Return a complete answer with some values replaced."""
    values = {
        "outcome": "complete",
        "verdict": "ran",
        "request_id": request_id,
        "snapshot": 1,
        "coverage": {"asked": 2, "answered": 2, "left_out": []},
        "hits": [{"id": "x", "snapshot": 1}],
    }
    return {**values, **changes}


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Check arrivals, counts and the use of entry addresses."""

    async def asyncSetUp(self) -> None:
        self.answer_numbers = itertools.count(1)
        self.address_requests = 0
        app = web.Application()
        app.router.add_post("/v1/indexes/stock/{kind}", self.answer)
        app.router.add_get("/v1/entry-addresses", self.entry_addresses)
        runner, self.address = await start_site(app, "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)

    async def answer(self, request: web.Request) -> web.Response:
        """Refuse every third request."""
        request_id = request.headers["Request-Id"]
        if next(self.answer_numbers) % 3 == 0:
            refusal = {"outcome": "refused", "reason": "queue_full"}
            refusal |= {"verdict": "not_run", "request_id": request_id}
            return web.json_response(refusal, status=503)
        return web.json_response(search_answer(request_id))

    async def entry_addresses(self, request: web.Request) -> web.Response:
        """Name a closed address first."""
        self.address_requests += 1
        addresses = [UNREACHABLE_ADDRESS, self.address]
        return web.json_response({"addresses": addresses, "keep_s": 60})

    def plan(self, **values: Any) -> LoadPlan:
        """Return a short plan against the test server."""
        defaults = {
            "index": "stock",
            "addresses": [self.address],
            "rate_per_s": 300,
            "duration_s": 0.2,
            "callers": 2,
            "deadline_ms": 20_000,
        }
        return LoadPlan.model_validate(defaults | values)

    async def test_every_arrival_is_counted_once(self) -> None:
        """Guard against refused requests that are missing from the result."""
        plan = self.plan()
        offered = len(list(arrivals(plan)))
        result = await run_load(plan)
        self.assertEqual(result.offered, offered)
        refused = offered // 3
        expected = {"complete": offered - refused, "refused": refused}
        self.assertEqual(result.outcomes, expected)
        self.assertEqual(result.reasons, {"refused: queue_full": refused})
        self.assertEqual(sum(s.offered for s in result.seconds), offered)

    async def test_callers_keep_their_address_list(self) -> None:
        """Guard against a request for addresses before each search."""
        result = await run_load(self.plan())
        self.assertEqual(self.address_requests, 2)
        self.assertNotIn("lost", result.outcomes)

    async def test_unreachable_daemons_count_as_lost(self) -> None:
        """Guard against unanswered requests that are missing from the result."""
        plan = self.plan(addresses=[UNREACHABLE_ADDRESS], asks_entry_addresses=False)
        result = await run_load(plan)
        self.assertEqual(result.outcomes, {"lost": result.offered})

    async def test_results_of_processes_add_up(self) -> None:
        """Guard against counts that are lost when results are merged."""
        result = await run_load_processes(self.plan(), processes=2)
        self.assertEqual(sum(result.outcomes.values()), result.offered)
        self.assertEqual(result.offered, next(self.answer_numbers) - 1)
        self.assertGreater(result.latency_ms["max"], 0)

    def test_wrong_answers_are_counted(self) -> None:
        """Guard against answer checks that miss a violation."""
        result = LoadResult()
        check_answer(search_answer("r-1"), "r-1", result)
        self.assertEqual(result, LoadResult())
        check_answer(search_answer("r-2"), "r-1", result)
        check_answer(search_answer("r-1", snapshot=2), "r-1", result)
        check_answer(search_answer("r-1", outcome="partial"), "r-1", result)
        self.assertEqual(result.foreign_answers, 1)
        self.assertEqual(result.mixed_snapshots, 1)
        self.assertEqual(result.untrue_coverage, 1)
