"""Arbitrary HTTP input to a running daemon gets a well-formed answer."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from hypothesis import HealthCheck
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.daemon_process import OPERATOR_TOKEN
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from collections.abc import Callable

INDEX = "stock"
READ_TIMEOUT_S = 20.0
PARTS = [
    "v1", "indexes", INDEX, "search", "lookup", "run", "idempotency-keys", "ready",
    "entry-addresses", "documents", "fleet", "domains", "a", "out", "in", "moves",
    "start", "take-back", "vms", "leaves", "changes", "in-force", "index%2Fstock",
    "%00", "%ff", "..", "",
]  # fmt: skip
NAMES = [
    b"Request-Id", b"Caller-Id", b"Deadline-Ms", b"Idempotency-Key", b"Content-Type",
    b"Content-Encoding", b"Transfer-Encoding", b"Expect", b"Cookie", b"Upgrade",
]  # fmt: skip
KEYS = ["query", "limit", "key", "count", "change_id", "reason", "body", "author"]
VALUES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
OBJECTS = st.dictionaries(
    st.sampled_from([*KEYS, "expected_revision"]),
    VALUES | st.lists(VALUES, max_size=3),
    max_size=5,
)
BODIES = st.binary(max_size=200) | OBJECTS.map(json.dumps).map(str.encode)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "X"])
PATHS = st.lists(st.sampled_from(PARTS) | st.text(max_size=4), max_size=6).map(
    lambda parts: "/" + "/".join(parts)
)
HEADERS = st.dictionaries(
    st.sampled_from(NAMES) | st.binary(min_size=1, max_size=6),
    st.sampled_from([b"1", b"chunked", b"100-continue", b"gzip"])
    | st.binary(max_size=40),
    max_size=4,
)


class ArbitraryRequestTest(SystemCase):
    """Send arbitrary requests to both HTTP listeners."""

    plan = ClusterPlan(
        indexes=[IndexPlan(name=INDEX, services=1)],
        daemons=1,
        daemon_settings=SHORT_ADDRESS_TTL,
    )
    warm_index = INDEX

    async def exchange(self, address: str, request: bytes) -> bytes:
        """Send bytes on a new connection and return everything received."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await reader.read()
        finally:
            writer.close()

    def check_typed_response(self, answer: bytes, request: bytes) -> None:
        """Check that an answer is JSON with an outcome and shows no internal error."""
        head, _, body = answer.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n").partition(
            b"\r\n\r\n"
        )
        shown = f"{request!r} -> {answer[:600]!r}"
        self.assertTrue(head.startswith(b"HTTP/1."), shown)
        self.assertNotIn(b"Traceback", answer, shown)
        self.assertNotIn(b"internal", answer, shown)
        status = int(head.split()[1])
        self.assertNotEqual(status, 500, shown)
        self.assertIn(b"content-type: application/json", head.lower(), shown)
        values = json.loads(body)
        if status >= 400:
            self.assertIn("outcome", values, shown)

    def check_listener(self, address: str, first_headers: bytes, examples: int) -> None:
        """Send generated requests to one listener and check each answer."""

        @settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(method=METHODS, path=PATHS, headers=HEADERS, body=BODIES)
        @example(method="GET", path="/\r\n", headers={}, body=b"")
        @example(
            method="POST", path="/v1/idempotency-keys", headers={}, body=b"[" * 9999
        )
        def send(
            method: str, path: str, headers: dict[bytes, bytes], body: bytes
        ) -> None:
            lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: x", first_headers]
            lines += [b"Connection: close", b"Content-Length: %d" % len(body)]
            lines += [name + b": " + value for name, value in headers.items()]
            request = b"\r\n".join(lines) + b"\r\n\r\n" + body
            answer = self.runner.run(self.exchange(address, request))
            self.check_typed_response(answer, request)

        send()

    def _callTestMethod(self, method: Callable[[], None]) -> None:  # noqa: N802
        # Hypothesis drives the exchanges, so the tests are plain functions.
        method()

    def check_serves(self) -> None:
        """Check that the daemon still serves and has logged no stack trace."""
        daemon = self.cluster.daemons[0]
        self.assertTrue(daemon.process.running)
        self.runner.run(self.cluster.warm_up(INDEX, answers=5))
        self.assertNotIn("Traceback", daemon.process.log_tail())

    def test_callers(self) -> None:
        """Guard against a stack trace or a crash after a malformed caller request."""
        address = self.cluster.daemons[0].addresses.callers
        self.check_listener(address, b"Accept: */*", 300)
        self.check_serves()

    def test_operators(self) -> None:
        """Guard against a stack trace or a crash after a malformed operator request."""
        address = self.cluster.daemons[0].addresses.operators
        token = b"Authorization: Bearer " + OPERATOR_TOKEN.encode()
        self.check_listener(address, token, 300)
        self.check_serves()
