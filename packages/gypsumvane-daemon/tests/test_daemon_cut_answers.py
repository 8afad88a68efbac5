"""Answers that are cut at any place are never taken as complete."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_daemon.routing.leaf_channel import ExchangeError
from gypsumvane_daemon.routing.leaf_channel import LeafChannel
from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.routing.peer_client import PeerError
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError
from gypsumvane_daemon.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BODY = b'{"objects": [], "revision": 12345}'
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Request-Id: request-1\r\nX-Request-Id: request-1\r\nStamp: abc\r\n"
)
WITH_LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
IN_CHUNKS = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (BODY[:9], BODY[9:]))
    + b"0\r\n\r\n"
)
# Only the end of the connection ends this body.
WITHOUT_LENGTH = HEAD + b"\r\n" + BODY


class CuttingServer:
    """Answer each request with the first bytes of an answer, and end the connection."""

    def __init__(self) -> None:
        self.content = b""
        self.reset = False

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.content)
            await writer.drain()
            if self.reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """Answer with a status that HTTP does not have."""

    async def asyncSetUp(self) -> None:
        self.server = CuttingServer()
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop()

    async def test_upstream_client(self) -> None:
        """Guard against a status outside of HTTP that is taken for an answer."""
        for status in (b"600 High", b"999 Highest"):
            self.server.content = WITH_LENGTH.replace(b"200 OK", status)
            client = UpstreamClient(self.server.address, connections=1)
            with self.assertRaises(LeafCallError):
                await client.send(LeafCall("request-1", "/v1/search", b"{}", 1000))
            await client.close()


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Cut an answer after each of its bytes."""

    async def asyncSetUp(self) -> None:
        self.server = CuttingServer()
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop()

    async def check_cuts(self, read: Callable[[], Awaitable[bytes | None]]) -> None:
        """Check that a client returns the whole body or none.

        A body without a length that ends with its connection is complete, unless the
        connection is reset.
        """
        wrong = []
        whole = 0
        for answer in (WITH_LENGTH, IN_CHUNKS, WITHOUT_LENGTH):
            for end in range(len(answer) + 1):
                self.server.content = answer[:end]
                for self.server.reset in (False, True):
                    body = await read()
                    whole += body == BODY
                    in_body = answer is WITHOUT_LENGTH and end >= answer.index(BODY)
                    ended = in_body and not self.server.reset
                    if body not in (None, BODY) and not ended:
                        wrong.append((end, self.server.reset, body))
        self.assertEqual(wrong, [])
        self.assertGreaterEqual(whole, 3)

    async def test_leaf_channel(self) -> None:
        """Guard against a short answer of a leaf that is framed as whole (MIXED)."""

        async def read() -> bytes | None:
            channel = LeafChannel(self.server.address, connections=1)
            try:
                answer = await channel.exchange(
                    lambda: b"GET / HTTP/1.1\r\n\r\n",
                    request_id="request-1",
                    id_header="Request-Id",
                    body_bytes_max=1000,
                )
            except ExchangeError:
                return None
            finally:
                await channel.close()
            return answer.body

        await self.check_cuts(read)

    async def test_upstream_client(self) -> None:
        """Guard against the same at the product's own interface."""

        async def read() -> bytes | None:
            client = UpstreamClient(self.server.address, connections=1)
            try:
                answer = await client.send(
                    LeafCall("request-1", "/v1/search", b"{}", 1000)
                )
            except LeafCallError:
                return None
            finally:
                await client.close()
            return answer.body

        await self.check_cuts(read)

    async def test_peer_client(self) -> None:
        """Guard against a short copy of a peer that is taken as complete (CONFIG)."""
        decoded: dict[str, Any] = {"objects": [], "revision": 12345}

        async def read() -> bytes | None:
            client = PeerClient()
            try:
                value = await client.call("GET", self.server.address, "/", timeout_s=15)
            except PeerError:
                return None
            finally:
                await client.close()
            return BODY if value == decoded else repr(value).encode()

        await self.check_cuts(read)


if __name__ == "__main__":
    unittest.main()
