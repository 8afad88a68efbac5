"""A second copy of an answer is not taken for the answer to the next request."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.upstream_client import LeafCallError
from gypsumvane_daemon.upstream_client import UpstreamClient
from waiting import wait_until


class SecondCopyTest(unittest.IsolatedAsyncioTestCase):
    """Call a server that answers twice, the second time a moment later."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request with its number, then send the same answer again."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                body = str(self.requests).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(answer + body)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(answer + body)
                await writer.drain()
                self.copies += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def test_copy_on_an_idle_connection(self) -> None:
        """Guard against a list of one kind that is taken for that of another.

        The clients of the store and of peers share the connector; their answers name
        no request.
        """
        self.requests = 0
        self.copies = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = PeerClient()
        for number in range(1, 4):
            answer = await client.call("GET", address, "/", timeout_s=5.0)
            self.assertEqual(answer, number)
            await wait_until(lambda number=number: self.copies == number)
            # The copy arrives while no request is pending.
            await asyncio.sleep(0.05)
        await client.close()
        server.close()


class CancelledRequestTest(unittest.IsolatedAsyncioTestCase):
    """Cancel a request over a connection on which an answer is repeated."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send another request's answer before each answer, which names none."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                for name in self.names:
                    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                    writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        writer.close()

    async def test_copy_is_no_confirmation(self) -> None:
        """Guard against a slot that is freed while the leaf still works.

        The copy stayed one answer ahead on the connection, which was used again.
        """
        self.requests = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient(f"127.0.0.1:{port}", connections=1)
        self.addAsyncCleanup(client.close)
        self.names = ("other", "")
        with self.assertRaises(LeafCallError) as raised:
            await client.cancel("request-1")
        self.assertTrue(raised.exception.mismatched)
        self.assertEqual(client.open_connections(), 0)
        for self.names in (("",), ("request-1",)):
            await client.cancel("request-1")
        self.assertEqual(self.requests, 3)
