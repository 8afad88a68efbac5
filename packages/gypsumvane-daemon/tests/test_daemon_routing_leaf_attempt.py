"""A request that was chosen for a leaf is checked again before it is written."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import fields
from typing import TYPE_CHECKING

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.reason import Reason
from gypsumvane_core.routing.leaf_registry import LEAVING_LEAF_GRACE_S
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.leaf_registry import LeafRegistry
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
from gypsumvane_daemon.routing.leaf_attempt import LeafFailure
from gypsumvane_daemon.routing.leaf_attempt import LeafSender
from gypsumvane_daemon.routing.leaf_pool import LeafPool
from gypsumvane_daemon.routing.ports import HeaderNames

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 5.0
HEADERS = HeaderNames(
    **{field.name: f"X-{field.name}" for field in fields(HeaderNames)}
)


class LateSendTest(unittest.IsolatedAsyncioTestCase):
    """Change the situation while a send waits for its connection."""

    async def asyncSetUp(self) -> None:
        self.received = b""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.clock = ManualClock()
        self.registry = LeafRegistry()
        self.entry = LeafEntry("leaf", "s", f"127.0.0.1:{port}", "a")
        self.registry.put(self.entry, self.clock.monotonic_s())
        self.pool = LeafPool("d1", random.Random(1))
        self.addAsyncCleanup(self.pool.close)
        self.addCleanup(self.server.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Record what arrives first and close the connection."""
        self.received += await reader.read(1000)
        writer.close()

    async def send(self, meanwhile: Callable[[], None]) -> LeafFailure:
        """Send, do something while the connection is opened, return the failure."""
        sender = LeafSender(HEADERS, self.pool, self.registry, self.clock)
        now_s = self.clock.monotonic_s()
        request = ForwardedRequest(
            method="POST",
            request_id="1",
            head=b"POST / HTTP/1.1\r\n",
            body=b"",
            arrived_s=now_s,
            deadline_s=now_s + TIMEOUT_S,
        )
        sending = asyncio.create_task(
            sender.send(
                self.entry, None, request, median_latency_s=0.1, answer_bytes_max=1000
            )
        )
        # The send now waits for its connection.
        await asyncio.sleep(0)
        meanwhile()
        result = await sending
        assert isinstance(result, LeafFailure)
        await self.pool.close()
        return result

    def check_withdrawn(self, failure: LeafFailure, reason: Reason) -> None:
        """Check that the request is known not to have run."""
        self.assertIs(failure.reason, reason)
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertFalse(failure.reached_leaf)
        self.assertEqual(self.received, b"")

    async def test_leaf_that_left_meanwhile_gets_nothing(self) -> None:
        """Guard against a request for a leaf whose time to get requests ran out."""
        now_s = self.clock.monotonic_s()

        def leave() -> None:
            self.registry.remove("leaf", now_s)
            self.clock.advance(LEAVING_LEAF_GRACE_S)

        self.check_withdrawn(await self.send(leave), Reason.UPSTREAM_LEAVING)

    async def test_deadline_that_passed_meanwhile(self) -> None:
        """Guard against work for a caller whose deadline has passed."""
        failure = await self.send(lambda: self.clock.advance(TIMEOUT_S))
        self.check_withdrawn(failure, Reason.DEADLINE)
