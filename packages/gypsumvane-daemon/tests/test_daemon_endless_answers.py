"""Responses without end are given up at a bound and never taken as complete."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tracemalloc
import unittest
from typing import TYPE_CHECKING

from gypsumvane_daemon.routing.leaf_channel import ExchangeError
from gypsumvane_daemon.routing.leaf_channel import LeafChannel
from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.routing.peer_client import PeerError
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError
from gypsumvane_daemon.upstream_client import UpstreamClient
from gypsumvane_devtools.endless_server import BLOCK
from gypsumvane_devtools.endless_server import ENDLESS_RESPONSES
from gypsumvane_devtools.endless_server import HEAD
from gypsumvane_devtools.endless_server import EndlessServer
from waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BODY_BYTES_MAX = 100_000
# Memory that a daemon may take for 16 such servers, and the buffers of the sockets of
# one connection.
MEMORY_BYTES_MAX = 32 * 2**20 // 16
SOCKET_BYTES_MAX = 8 * 2**20


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Read each kind of endless response with each client."""

    async def check_ended(
        self, read: Callable[[EndlessServer], Awaitable[object]]
    ) -> None:
        """Check that the client gives up each response and closes its connection."""
        for name, (start, repeated) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                server = EndlessServer(start, repeated)
                await server.start()
                try:
                    # The bound is by size; the time-out only ends a failing test.
                    await asyncio.wait_for(read(server), 20)
                    await wait_until(lambda server=server: not server.connected)
                    self.assertLess(
                        server.bytes_written, MEMORY_BYTES_MAX + SOCKET_BYTES_MAX
                    )
                finally:
                    await server.stop()

    async def test_leaf_channel(self) -> None:
        """Guard against memory and time that a leaf's endless answer takes."""

        async def read(server: EndlessServer) -> None:
            channel = LeafChannel(server.address, connections=1)
            try:
                with self.assertRaises(ExchangeError) as caught:
                    await channel.exchange(
                        lambda: b"GET / HTTP/1.1\r\n\r\n",
                        request_id="request-1",
                        id_header="Request-Id",
                        body_bytes_max=BODY_BYTES_MAX,
                    )
                self.assertTrue(caught.exception.written)
            finally:
                await channel.close()

        await self.check_ended(read)

    async def test_upstream_client(self) -> None:
        """Guard against the same at the product's own interface."""

        async def read(server: EndlessServer) -> None:
            client = UpstreamClient(server.address, connections=1)
            call = LeafCall("request-1", "/v1/search", b"{}", 1000)
            try:
                # An answer to another request is returned with its identifier, and
                # its caller drops it.
                with contextlib.suppress(LeafCallError):
                    answer = await client.send(call)
                    self.assertNotEqual(answer.request_id, call.request_id)
                self.assertTrue(call.written)
            finally:
                await client.close()

        await self.check_ended(read)

    async def test_peer_client(self) -> None:
        """Guard against an endless answer of another daemon."""

        async def read(server: EndlessServer) -> None:
            client = PeerClient()
            try:
                with self.assertRaises(PeerError):
                    await client.call("GET", server.address, "/", timeout_s=15)
            finally:
                await client.close()

        await self.check_ended(read)


class FailedResponseTest(unittest.IsolatedAsyncioTestCase):
    """Check what is left of responses that were given up."""

    EXCHANGES = 40
    # The objects of closed connections of both sides, but not the received bytes.
    KEPT_BYTES_MAX = EXCHANGES * BODY_BYTES_MAX // 4

    async def test_no_bytes_are_kept(self) -> None:
        """Guard against failed responses that wait for a garbage collection.

        The collector runs rarely in a daemon.
        """
        for name, (start, repeated) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                server = EndlessServer(start, repeated)
                await server.start()
                channel = LeafChannel(server.address, connections=1)
                gc.collect()
                gc.disable()
                tracemalloc.start()
                try:
                    for _ in range(self.EXCHANGES):
                        with self.assertRaises(ExchangeError):
                            await channel.exchange(
                                lambda: b"GET / HTTP/1.1\r\n\r\n",
                                request_id="request-1",
                                id_header="Request-Id",
                                body_bytes_max=BODY_BYTES_MAX,
                            )
                        await wait_until(lambda server=server: not server.connected)
                    kept, peak = tracemalloc.get_traced_memory()
                    self.assertLess(kept, self.KEPT_BYTES_MAX)
                    self.assertLess(peak, MEMORY_BYTES_MAX + self.KEPT_BYTES_MAX)
                finally:
                    tracemalloc.stop()
                    gc.enable()
                    await channel.close()
                    await server.stop()


class UnsolicitedBytesTest(unittest.IsolatedAsyncioTestCase):
    """Receive bytes on a connection that waits for its next request."""

    async def test_idle_connection_is_closed(self) -> None:
        """Guard against memory for bytes that arrive while no request is pending."""
        first = HEAD + b"Content-Length: 2\r\n\r\nok"
        for name, (start, repeated) in ENDLESS_RESPONSES.items():
            with self.subTest(name):
                server = EndlessServer(start, repeated, first=first)
                await server.start()
                channel = LeafChannel(server.address, connections=1)
                try:
                    # The bytes behind the answer may arrive together with it, in
                    # which case the exchange fails; they never change the answer.
                    try:
                        answer = await channel.exchange(
                            lambda: b"GET / HTTP/1.1\r\n\r\n",
                            request_id="request-1",
                            id_header="Request-Id",
                            body_bytes_max=BODY_BYTES_MAX,
                        )
                        self.assertEqual(answer.body, b"ok")
                    except ExchangeError as error:
                        self.assertTrue(error.written)
                    await wait_until(lambda server=server: not server.connected)
                    self.assertLess(server.bytes_written, SOCKET_BYTES_MAX)
                finally:
                    await channel.close()
                    await server.stop()

    async def test_body_of_the_largest_size_is_whole(self) -> None:
        """Guard against a bound that cuts an answer of the allowed size."""
        body = BLOCK[:1] * BODY_BYTES_MAX
        for framing in (b"Content-Length: %d\r\n\r\n" % len(body), b"\r\n"):
            done = HEAD + framing + body

            async def answer(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                done: bytes = done,
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(done)
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            channel = LeafChannel(f"127.0.0.1:{port}", connections=1)
            reply = await channel.exchange(
                lambda: b"GET / HTTP/1.1\r\n\r\n",
                request_id="request-1",
                id_header="Request-Id",
                body_bytes_max=BODY_BYTES_MAX,
            )
            self.assertEqual(reply.body, body)
            await channel.close()
            server.close()
