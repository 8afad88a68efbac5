"""Tests of the fault-injecting proxy."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress

from gypsumvane_devtools.polling import wait_until
from gypsumvane_devtools.proxy_link import Framing
from gypsumvane_devtools.proxy_link import ProxyLink
from gypsumvane_devtools.proxy_rules import Rule


def frame(text: bytes) -> bytes:
    """Return a frame as daemons send it."""
    return len(text).to_bytes(4, "little") + text


class ProxyLinkTest(unittest.IsolatedAsyncioTestCase):
    """Check each fault against an echo server."""

    async def asyncSetUp(self) -> None:
        self.received: list[bytes] = []
        self.open_echoes = 0
        echo = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addAsyncCleanup(self.wait_for_echo_connections)
        self.addCleanup(echo.close)
        port = echo.sockets[0].getsockname()[1]
        self.link = ProxyLink("echo", f"127.0.0.1:{port}", Framing.RAW)
        await self.link.start("127.0.0.1:0")
        self.addAsyncCleanup(self.link.stop)

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Return everything that arrives."""
        self.open_echoes += 1
        with suppress(OSError):
            while data := await reader.read(1000):
                self.received.append(data)
                writer.write(data)
        writer.close()
        self.open_echoes -= 1

    async def wait_for_echo_connections(self) -> None:
        """Return when the echo server has no connection left."""
        await wait_until(lambda: self.open_echoes == 0, "echo connections end")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection through the proxy."""
        host, _, port = self.link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes on a new connection and return the answer."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await reader.read(1000)
        except ConnectionError:
            return b""

    def add(self, **values: object) -> None:
        """Add a rule to the link."""
        self.link.rules.add(Rule.model_validate(values))

    async def test_cut_before_keeps_the_request_from_the_target(self) -> None:
        """Guard against a request that arrives although it was cut."""
        self.add(kind="cut_before", count=1, match="book")
        self.assertEqual(await self.exchange(b"read"), b"read")
        self.assertEqual(await self.exchange(b"book 1"), b"")
        self.assertEqual(await self.exchange(b"book 2"), b"book 2")
        self.assertNotIn(b"book 1", self.received)

    async def test_lost_answer_reaches_the_target(self) -> None:
        """Guard against a lost answer whose request did not reach the target."""
        self.add(kind="lose_answer", count=1)
        self.assertEqual(await self.exchange(b"book 1"), b"")
        self.assertEqual(self.received, [b"book 1"])

    async def test_cut_after_reaches_the_target(self) -> None:
        """Guard against a cut that comes before the request is forwarded."""
        self.add(kind="hold_answers")
        self.add(kind="cut_after", count=1, delay_ms=20)
        self.assertEqual(await self.exchange(b"book 1"), b"")
        self.assertEqual(self.received, [b"book 1"])

    async def test_held_answers_can_be_crossed(self) -> None:
        """Guard against held answers that are lost or released in order."""
        self.link.framing = Framing.FRAMES
        self.add(kind="hold_answers")
        reader, writer = await self.connect()
        # A packed frame sets the highest bit of its length; a proxy that does not mask
        # it waits for 2 GB and stops forwarding.
        packed = b"\x03\x00\x00\x80two"
        writer.write(frame(b"one") + packed)
        await wait_until(lambda: len(self.link.held) == 2, "answers are held")
        self.link.rules.rules.clear()
        await self.link.release(crossed=True)
        self.assertEqual(await reader.readexactly(14), packed + frame(b"one"))

    async def test_wrong_answers(self) -> None:
        """Guard against wrong answers that are not delivered or not counted."""
        reader, writer = await self.connect()

        async def check(kind: str, sent: bytes, received: bytes) -> None:
            self.add(kind=kind, count=1)
            writer.write(sent)
            self.assertEqual(await reader.readexactly(len(received)), received)

        await check("repeat", b"one", b"oneone")
        await check("foreign", b"two", b"two")
        await check("foreign", b"three", b"two")
        self.link.framing = Framing.FRAMES
        reader, writer = await self.connect()
        self.add(kind="swap", count=1)
        one, two = frame(b"one"), frame(b"two")
        await check("swap", one + two, two + one)
        self.assertEqual((self.link.wrong_answers, self.link.after_wrong_max), (4, 2))

    async def test_half_open_swallows_bytes(self) -> None:
        """Guard against a half-open connection that still delivers."""
        reader, writer = await self.connect()
        writer.write(b"one")
        self.assertEqual(await reader.read(10), b"one")
        self.add(kind="half_open", match="two")
        writer.write(b"two")
        await writer.drain()
        await wait_until(lambda: not writer.transport.get_write_buffer_size(), "sent")
        self.link.cut()
        with suppress(ConnectionError):
            self.assertEqual(await reader.read(10), b"")
        self.assertEqual(self.received, [b"one"])

    async def test_slow_bytes_arrive_complete(self) -> None:
        """Guard against a slow rule that drops bytes."""
        self.add(kind="slow_bytes", bytes_per_s=100_000, count=1)
        data = b"x" * 100
        reader, writer = await self.connect()
        writer.write(data)
        self.assertEqual(await reader.readexactly(100), data)

    async def test_rule_can_name_the_opener_of_a_connection(self) -> None:
        """Guard against a fault that affects connections of other peers."""
        self.add(kind="cut_before", first_match="vm-1", match="beat")
        reader, writer = await self.connect()
        writer.write(b"hello vm-2")
        self.assertEqual(await reader.read(100), b"hello vm-2")
        writer.write(b"beat")
        self.assertEqual(await reader.read(100), b"beat")
