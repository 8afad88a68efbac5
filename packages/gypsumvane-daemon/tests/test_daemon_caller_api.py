"""Tests of the caller API over HTTP."""

from __future__ import annotations

import asyncio
import ssl
import unittest
from typing import Any

from aiohttp import ClientError
from aiohttp import ClientSession

from caller_fakes import CallerFixture
from daemon_settings import daemon_settings
from gateway_fakes import index_body
from gypsumvane_core.outcome import Failed
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.admission_service import REFUSAL_MESSAGES
from gypsumvane_daemon.caller_api import BODY_BYTES_MAX
from tls_files import CertificateAuthority
from waiting import wait_until

SEARCH = "/v1/indexes/stock/search"
RUN = "/v1/indexes/ledger/run"


class CallerApiTest(unittest.IsolatedAsyncioTestCase):
    """Check the responses and side effects that callers observe."""

    async def asyncSetUp(self) -> None:
        self.fixture = CallerFixture()
        await self.fixture.kernel.start()
        self.addAsyncCleanup(self.fixture.kernel.stop)
        self.fixture.apply_index(index_body())
        self.fixture.apply_index(index_body("ledger", kind="lookup"))
        self.session = ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def post(
        self, path: str, body: Any = None, *, data: bytes | None = None, **headers: str
    ) -> tuple[int, dict[str, Any]]:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(
            self.fixture.url(path), json=body, data=data, headers=names
        ) as response:
            value = await response.json()
            self.request_id = response.headers.get("Request-Id")
            self.connection = response.headers.get("Connection")
            return response.status, value

    async def test_search_answer_has_the_documented_form(self) -> None:
        """Guard against an answer that differs from docs/callers.md."""
        status, answer = await self.post(SEARCH, {"query": "x"}, Request_Id="q-7")
        self.assertEqual(status, 200)
        self.assertEqual(
            answer,
            {
                "outcome": "complete",
                "verdict": "ran",
                "request_id": "q-7",
                "snapshot": 1,
                "coverage": {"asked": 3, "answered": 3, "left_out": []},
                "hits": [],
                "total": 0,
            },
        )
        self.assertEqual(self.request_id, "q-7")
        self.assertEqual(self.fixture.admission.finished, [True])

    async def test_lookup_returns_the_record(self) -> None:
        """Guard against a lookup that loses its record."""
        for leaf in self.fixture.upstreams.leaves.values():
            leaf.body = b'{"found": true, "record": {"id": "k"}}'
        status, answer = await self.post("/v1/indexes/ledger/lookup", {"key": "k"})
        self.assertEqual((status, answer["record"]), (200, {"id": "k"}))

    async def test_bad_requests_are_refused_with_a_reason(self) -> None:
        """Guard against invalid input that runs, or that gets an untyped error."""
        cases: list[tuple[int, str, dict[str, Any]]] = [
            (400, SEARCH, {"body": {"limit": 5}}),
            (400, SEARCH, {"body": {"query": "x", "limit": 0}}),
            (400, SEARCH, {"body": {"query": "x", "limit": 90, "offset": 90}}),
            (400, SEARCH, {"body": {"query": "x", "other": 1}}),
            (400, SEARCH, {"data": b"\xff{"}),
            (400, SEARCH, {"body": {"query": "x"}, "Deadline_Ms": "soon"}),
            (400, SEARCH, {"body": {"query": "x"}, "Caller_Id": "a b"}),
            (400, RUN, {"body": {"key": "x"}}),
            (404, "/v1/indexes/none/search", {"body": {"query": "x"}}),
            (404, "/v1/none", {"body": {}}),
            (405, "/v1/ready", {"body": {}}),
            (413, SEARCH, {"data": b"x" * (BODY_BYTES_MAX + 1)}),
        ]
        for expected, path, kwargs in cases:
            with self.subTest(path=path, kwargs=str(kwargs)[:60]):
                status, answer = await self.post(path, **kwargs)
                self.assertEqual(status, expected)
                self.assertEqual(
                    (answer["outcome"], answer["verdict"]), ("refused", "not_run")
                )
                self.assertEqual(answer["request_id"], self.request_id)
                self.assertNotIn("Traceback", answer["message"])
        self.assertEqual([leaf.asked for leaf in self.fixture.leaves_of("s0")], [0, 0])

    async def test_refused_admission_runs_nothing(self) -> None:
        """Guard against partial requests for a request that was refused."""
        self.fixture.admission.reason = Reason.QUEUE_FULL
        status, answer = await self.post(SEARCH, {"query": "x"})
        self.assertEqual((status, answer["reason"]), (429, "queue_full"))
        self.assertEqual([leaf.asked for leaf in self.fixture.leaves_of("s0")], [0, 0])

    async def test_refusal_of_admission_is_explained(self) -> None:
        """Guard against refusals without an explanatory message."""
        for reason in (Reason.QUEUE_FULL, Reason.CALLER_LIMIT, Reason.DEADLINE):
            self.fixture.admission.reason = reason
            _, search = await self.post(SEARCH, {"query": "x"})
            _, run = await self.post(RUN, {"key": "x"}, Idempotency_Key="k1")
            for answer in (search, run):
                self.assertEqual(answer["reason"], reason.value)
                self.assertEqual(answer["message"], REFUSAL_MESSAGES[reason])

    async def disconnect_after(
        self, path: str, body: Any, started: Any, **names: str
    ) -> None:
        """Send a request and close its connection once the event is set."""
        headers = {name.replace("_", "-"): value for name, value in names.items()}
        async with ClientSession() as session:
            call = asyncio.create_task(
                session.post(self.fixture.url(path), json=body, headers=headers)
            )
            await asyncio.wait_for(started, 10)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)

    async def wait_for_disconnect(self, route: str) -> None:
        """Wait until the daemon has counted one disconnect."""
        value = self.fixture.metrics.value
        await wait_until(lambda: value("caller_disconnects", route=route) == 1)

    async def check_cancelled_with_caller(
        self, route: str, path: str, body: Any, attempts: int
    ) -> None:
        """Check that attempts are cancelled at their homes after a disconnect."""
        for leaf in self.fixture.upstreams.leaves.values():
            leaf.delay_s = 30.0
        started = wait_until(lambda: self.fixture.asked() >= attempts)
        await self.disconnect_after(path, body, started)
        await self.wait_for_disconnect(route)
        cancels = [message for _, message in self.fixture.peers.cancels]
        cancelled = [number for cancel in cancels for number in cancel.attempt_ids]
        self.assertGreaterEqual(len(cancelled), attempts)
        self.assertTrue(self.fixture.lifecycle.idle_checks[0]())
        # A caller that disconnects is no evidence of overload.
        self.assertEqual(self.fixture.admission.abandoned, 1)

    async def test_search_is_cancelled_after_a_disconnect(self) -> None:
        """Guard against searches that continue after their caller disconnects."""
        await self.check_cancelled_with_caller("search", SEARCH, {"query": "x"}, 3)

    async def test_lookup_is_cancelled_after_a_disconnect(self) -> None:
        """Guard against lookups that continue after their caller disconnects."""
        path = "/v1/indexes/ledger/lookup"
        await self.check_cancelled_with_caller("lookup", path, {"key": "k"}, 1)

    async def test_run_continues_after_a_disconnect(self) -> None:
        """Guard against a booking that is cancelled when its caller disconnects."""
        bookings = self.fixture.bookings
        bookings.delay_s = 0.3
        await self.disconnect_after(
            RUN, {"key": "x"}, bookings.started.wait(), Idempotency_Key="k1"
        )
        idle = self.fixture.lifecycle.idle_checks[0]
        await self.wait_for_disconnect("run")
        self.assertFalse(idle())
        await asyncio.wait_for(bookings.ended.wait(), 10)
        await wait_until(idle)
        self.assertEqual(self.fixture.admission.finished, [True])

    async def test_answers_without_an_unavailable_service_keep_the_limit(self) -> None:
        """Guard against an unavailable service that lowers the in-flight limit."""
        for leaf in self.fixture.leaves_of("s1"):
            leaf.kind, leaf.verdict = "refused", "not_run"
            leaf.reason = "upstream_unavailable"
        _, answer = await self.post(SEARCH, {"query": "x"})
        self.assertEqual(answer["outcome"], "partial")
        await self.post("/v1/indexes/none/search", {"query": "x"})
        admission = self.fixture.admission
        self.assertEqual((admission.finished, admission.abandoned), ([], 2))

    async def test_answers_without_a_late_service_show_load(self) -> None:
        """Guard against an overload that does not lower the in-flight limit."""
        for leaf in self.fixture.leaves_of("s1"):
            leaf.delay_s = 30.0
        await self.post(SEARCH, {"query": "x"}, Deadline_Ms="200")
        admission = self.fixture.admission
        self.assertEqual((admission.finished, admission.abandoned), ([False], 0))

    async def test_refused_run_accounts_for_earlier_attempts(self) -> None:
        """Guard against NOT_RUN for a key whose earlier attempt may have run."""
        self.fixture.admission.reason = Reason.QUEUE_FULL
        status, answer = await self.post(RUN, {"key": "x"}, Idempotency_Key="k1")
        self.assertEqual(
            (answer["outcome"], answer["verdict"]), ("failed", "may_have_run")
        )
        self.assertGreaterEqual(status, 400)
        self.assertEqual(self.fixture.bookings.requests, [])

    async def test_run_passes_the_callers_key_and_verdict(self) -> None:
        """Guard against a booking that loses its key or its verdict."""
        status, answer = await self.post(RUN, {"key": "x"}, Idempotency_Key="k1")
        self.assertEqual((status, answer["record"]), (200, {"booked": True}))
        self.assertEqual(self.fixture.bookings.requests[0].key, "k1")
        self.fixture.bookings.outcome = Failed(
            reason=Reason.KEY_UNRESOLVED, verdict=Verdict.MAY_HAVE_RUN
        )
        status, answer = await self.post(RUN, {"key": "x"}, Idempotency_Key="k1")
        self.assertEqual((status, answer["verdict"]), (409, "may_have_run"))

    async def test_unexpected_error_hides_its_cause(self) -> None:
        """Guard against a stack trace or a false verdict in an answer."""
        self.fixture.bookings.outcome = "not an outcome"  # type: ignore[assignment]
        with self.assertLogs("gypsumvane_daemon.caller_api", "ERROR"):
            status, answer = await self.post(RUN, {"key": "x"}, Idempotency_Key="k")
        self.assertEqual((status, answer["verdict"]), (502, "may_have_run"))
        self.assertEqual(answer["message"], "internal error")

    async def test_daemon_that_does_not_serve_refuses(self) -> None:
        """Guard against work at a daemon that is not ready."""
        self.fixture.lifecycle.serving = False
        status, answer = await self.post(SEARCH, {"query": "x"})
        self.assertEqual((status, answer["verdict"]), (503, "not_run"))
        async with self.session.get(self.fixture.url("/v1/ready")) as response:
            self.assertEqual(response.status, 503)
        # An earlier attempt of the key may have run through another daemon.
        _, answer = await self.post(RUN, {"key": "x"}, Idempotency_Key="k1")
        self.assertEqual(
            (answer["reason"], answer["verdict"]), ("not_ready", "may_have_run")
        )

    async def test_keys_and_entry_addresses(self) -> None:
        """Guard against key and address responses that callers cannot use."""
        status, answer = await self.post("/v1/idempotency-keys", {"count": 2})
        self.assertEqual((status, answer["keys"]), (200, ["key-0", "key-1"]))
        url = self.fixture.url("/v1/entry-addresses?failure_domain=b")
        async with self.session.get(url) as response:
            self.assertEqual(
                await response.json(), {"addresses": ["b:1"], "keep_s": 10.0}
            )

    async def test_stop_answers_the_requests_in_progress(self) -> None:
        """Guard against a planned stop that aborts a booking in progress."""
        self.fixture.bookings.delay_s = 0.8
        call = asyncio.create_task(self.post(RUN, {"key": "x"}, Idempotency_Key="k1"))
        await self.fixture.bookings.started.wait()
        idle = self.fixture.lifecycle.idle_checks[0]
        self.assertFalse(idle())
        await self.fixture.api.stop()
        self.assertTrue(idle())
        status, _ = await call
        self.assertEqual(status, 200)
        self.assertEqual(self.connection, "close")


class CallerTlsTest(unittest.IsolatedAsyncioTestCase):
    """Check the listener's TLS settings."""

    async def test_listener_accepts_only_tls(self) -> None:
        """Guard against TLS settings that are ignored."""
        authority = CertificateAuthority(self)
        fixture = CallerFixture()
        fixture.identity.settings = daemon_settings(
            callers={"tls": authority.issue(mutual=False)}
        )
        await fixture.kernel.start()
        self.addAsyncCleanup(fixture.kernel.stop)
        context = ssl.create_default_context(cafile=authority.file)
        async with ClientSession() as session:
            url = fixture.url("/v1/ready")
            with self.assertRaises(ClientError):
                await session.get(url)
            url = url.replace("http:", "https:")
            async with session.get(url, ssl=context) as response:
                self.assertEqual(response.status, 200)
