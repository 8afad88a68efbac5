"""Tests of the operator API."""

from __future__ import annotations

import unittest
from typing import Any

from aiohttp import ClientSession

from daemon_fixture import TestDaemon
from daemon_settings import TOKEN
from fake_store import FakeStore

REASON = {"author": "ana", "reason": "power work"}


class OperatorApiTest(unittest.IsolatedAsyncioTestCase):
    """Check requests to the operator listener."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fake = FakeStore()
        await self.fake.start()
        self.addAsyncCleanup(self.fake.stop)
        self.daemon = TestDaemon("vm-1", self.fake.address)
        await self.daemon.start()
        self.addAsyncCleanup(self.daemon.stop)
        await self.daemon.documents.wait_ready()
        self.session = ClientSession(headers={"Authorization": f"Bearer {TOKEN}"})
        self.addAsyncCleanup(self.session.close)

    async def call(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Return status and JSON body."""
        url = f"http://{self.daemon.identity.operator_address}{path}"
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def test_token_is_required(self) -> None:
        """Guard against requests without the token."""
        for header in ("Bearer wrong", "", "Bearer \xff"):
            status, body = await self.call("GET", "/v1/documents", Authorization=header)
            self.assertEqual((status, body["outcome"]), (401, "unauthorized"))

    async def test_document_is_put_and_shown(self) -> None:
        """Guard against a change that operators cannot see."""
        put = {**REASON, "change_id": "c1", "expected_revision": 0}
        put["body"] = {"defaults": {"deadline_ms": 700}}
        status, body = await self.call("PUT", "/v1/documents/fleet", put)
        self.assertEqual((status, body["outcome"]), (200, "accepted"))
        self.assertEqual(body["in_force"], ["vm-1"])
        _, shown = await self.call("GET", "/v1/documents/fleet")
        self.assertEqual(shown["body"]["defaults"]["deadline_ms"], 700)
        _, where = await self.call("GET", "/v1/in-force/fleet")
        self.assertEqual(where["vms"][0]["revision"], 1)
        _, found = await self.call("GET", "/v1/changes/c1?document=fleet")
        self.assertEqual(found["revision"], 1)
        other = {**put, "change_id": "c2"}
        status, body = await self.call("PUT", "/v1/documents/fleet", other)
        self.assertEqual((status, body["outcome"]), (409, "conflict"))
        self.assertEqual((body["author"], body["revision"]), ("ana", 1))

    async def test_errors_are_typed(self) -> None:
        """Guard against errors that a client cannot tell apart."""
        cases = [
            ("GET", "/v1/documents/none", None, 404, "not_found"),
            ("GET", "/v1/nothing", None, 404, "not_found"),
            ("PUT", "/v1/documents/fleet", {"x": 1}, 400, "invalid"),
            ("GET", "/v1/vms", None, 503, "part_unavailable"),
            ("GET", "/v1/changes/c1?document=fleet", None, 404, "not_found"),
        ]
        for method, path, sent, status, outcome in cases:
            with self.subTest(path=path):
                got_status, got = await self.call(method, path, sent)
                self.assertEqual((got_status, got["outcome"]), (status, outcome))

    async def test_domain_out_and_in(self) -> None:
        """Guard against domains that cannot be taken out or brought back in."""
        out = {**REASON, "change_id": "c1"}
        for _ in range(2):
            status, body = await self.call("POST", "/v1/domains/a/out", out)
            self.assertEqual((status, body["revision"]), (200, 1))
        other = {**REASON, "change_id": "c2"}
        await self.call("POST", "/v1/domains/b/out", other)
        _, listed = await self.call("GET", "/v1/domains")
        self.assertEqual({item["failure_domain"] for item in listed["out"]}, {"a", "b"})
        back = {**REASON, "change_id": "c3"}
        status, _ = await self.call("POST", "/v1/domains/a/in", back)
        self.assertEqual(status, 200)
        again = {**REASON, "change_id": "c4"}
        status, body = await self.call("POST", "/v1/domains/a/in", again)
        self.assertEqual((status, body["outcome"]), (400, "invalid"))

    async def test_taken_back_move_is_final(self) -> None:
        """Guard against a move that continues after it was taken back."""
        start = {
            **REASON,
            "change_id": "c1",
            "move_id": "m1",
            "from_version": "v1",
            "to_version": "v2",
            "start_unix_s": 1000,
            "complete_by_unix_s": 2000,
        }
        status, _ = await self.call("POST", "/v1/moves/stock/start", start)
        self.assertEqual(status, 200)
        second = {**start, "change_id": "c2", "move_id": "m2"}
        status, body = await self.call("POST", "/v1/moves/stock/start", second)
        self.assertEqual((status, body["message"]), (400, "move m1 is running"))
        back = {**REASON, "change_id": "c3", "move_id": "m1"}
        status, _ = await self.call("POST", "/v1/moves/stock/take-back", back)
        self.assertEqual(status, 200)
        _, shown = await self.call("GET", "/v1/moves/stock")
        self.assertEqual(shown["move"]["state"], "taken_back")
        _, document = await self.call("GET", "/v1/documents/move/stock")
        put = {**REASON, "change_id": "c4", "expected_revision": 2}
        put["body"] = {**document["body"], "state": "running"}
        status, _ = await self.call("PUT", "/v1/documents/move/stock", put)
        self.assertEqual(status, 400)
        status, _ = await self.call("POST", "/v1/moves/stock/start", second)
        self.assertEqual(status, 200)

    async def test_move_id_is_used_once(self) -> None:
        """Guard against a taken back move that starts again after another one."""
        start = {
            **REASON,
            "from_version": "v1",
            "to_version": "v2",
            "start_unix_s": 1000,
            "complete_by_unix_s": 2000,
        }
        for move_id in ("m1", "m2"):
            sent = {**start, "move_id": move_id, "change_id": f"start-{move_id}"}
            # A repeated request is the same change, not a second start.
            for _ in range(2):
                status, _ = await self.call("POST", "/v1/moves/stock/start", sent)
                self.assertEqual(status, 200)
            back = {**REASON, "change_id": f"back-{move_id}"}
            await self.call("POST", "/v1/moves/stock/take-back", back)
        again = {**start, "move_id": "m1", "change_id": "again"}
        status, body = await self.call("POST", "/v1/moves/stock/start", again)
        self.assertEqual((status, body["outcome"]), (400, "invalid"))
        self.assertEqual(body["message"], "move m1 was started before")

    async def test_store_calls_and_metrics(self) -> None:
        """Guard against store calls that are not counted."""
        _, body = await self.call("GET", "/v1/store-calls")
        self.assertEqual(body["calls"], [{"kind": "list", "result": "200", "calls": 1}])
        url = f"http://{self.daemon.identity.operator_address}/metrics"
        async with self.session.get(url) as response:
            self.assertIn("store_calls", await response.text())
