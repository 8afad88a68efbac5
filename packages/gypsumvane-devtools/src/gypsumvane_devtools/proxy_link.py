"""One proxied address and its connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools import stand_in
from gypsumvane_devtools.proxy_rules import RuleKind
from gypsumvane_devtools.proxy_rules import RuleTable

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from gypsumvane_devtools.proxy_rules import Rule

READ_BYTES = 65536
SLOW_CHUNK_BYTES = 16
FRAME_HEADER_BYTES = 4
# The highest bit of the length marks a packed frame.
FRAME_LENGTH_MASK = (1 << 31) - 1
CUT_KINDS = (RuleKind.CUT_BEFORE, RuleKind.CUT_AFTER, RuleKind.LOSE_ANSWER)


class Framing(StrEnum):
    """Select the unit of traffic to which rules apply."""

    RAW = "raw"
    # A 4-byte little-endian length and a body, as between daemons.
    FRAMES = "frames"


@dataclass(slots=True)
class HeldAnswer:
    """Keep an answer until its release."""

    connection: ProxyConnection
    data: bytes


class ProxyConnection:
    """Forward one connection and apply the rules of its link."""

    def __init__(
        self, link: ProxyLink, number: int, reader: StreamReader, writer: StreamWriter
    ) -> None:
        self.number = number
        self.request_bytes = 0
        self.answer_bytes = 0
        # Requests that arrived after a wrong answer was sent.
        self.requests_after_wrong = 0
        self._link = link
        self._client_reader = reader
        self._client_writer = writer
        self._target_writer: StreamWriter | None = None
        self._first_request = b""
        self._lose_next_answer = False
        self._sent_wrong_answer = False
        # Answer that waits for the next one, to be sent after it.
        self._answer_to_swap = b""

    async def run(self) -> None:
        """Forward until one side closes or a rule cuts the connection."""
        host, _, port = self._link.target.rpartition(":")
        try:
            reader, self._target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.cut()
            return
        forwarders = {
            asyncio.create_task(self._forward_requests(self._target_writer)),
            asyncio.create_task(self._forward_answers(reader)),
        }
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            self._close()

    def cut(self) -> None:
        """Abort both sides; data in transit is lost."""
        for writer in (self._client_writer, self._target_writer):
            if writer is not None:
                writer.transport.abort()

    async def write_answer(self, data: bytes, *, wrong: bool = False) -> None:
        """Send bytes to the client; `wrong` marks an answer to another request."""
        # Frames name their request, so the client may keep using the connection.
        self._sent_wrong_answer |= wrong and self._link.framing is Framing.RAW
        self.answer_bytes += len(data)
        self._client_writer.write(data)
        await self._client_writer.drain()

    async def _forward_requests(self, writer: StreamWriter) -> None:
        while True:
            data = await self._read_unit(self._client_reader)
            if not data:
                return
            self._first_request = self._first_request or data
            self._count_request()
            if self._drops(data):
                continue
            await self._delay(data)
            if not await self._forward_request(writer, data):
                return

    def _count_request(self) -> None:
        if self._sent_wrong_answer:
            self.requests_after_wrong += 1
            link = self._link
            link.after_wrong_max = max(link.after_wrong_max, self.requests_after_wrong)

    async def _forward_request(self, writer: StreamWriter, data: bytes) -> bool:
        rule = self._use_rule(*CUT_KINDS, data=data)
        if rule is not None and rule.kind is RuleKind.CUT_BEFORE:
            self.cut()
            return False
        if rule is not None and rule.kind is RuleKind.LOSE_ANSWER:
            self._lose_next_answer = True
        self.request_bytes += len(data)
        await self._write(writer, data)
        if rule is not None and rule.kind is RuleKind.CUT_AFTER:
            # The pause lets the request reach the other side before the cut.
            await asyncio.sleep(rule.delay_ms / 1000)
            self.cut()
            return False
        return True

    async def _forward_answers(self, reader: StreamReader) -> None:
        while True:
            data = await self._read_unit(reader)
            if not data:
                return
            if self._lose_next_answer:
                self.cut()
                return
            if self._drops(data):
                continue
            await self._delay(data)
            if self._use_rule(RuleKind.HOLD_ANSWERS, data=data) is not None:
                self._link.held.append(HeldAnswer(self, data))
                continue
            if self._use_rule(RuleKind.SWAP, data=data) is not None:
                await self._swap(data)
                continue
            if self._use_rule(RuleKind.FOREIGN, data=data) is not None:
                await self._send_previous(data)
                continue
            self.answer_bytes += len(data)
            await self._write(self._client_writer, data)
            rule = self._use_rule(RuleKind.REPEAT, data=data)
            if rule is not None:
                await asyncio.sleep(rule.delay_ms / 1000)
                self._link.wrong_answers += 1
                await self.write_answer(data, wrong=True)

    async def _swap(self, data: bytes) -> None:
        earlier, self._answer_to_swap = self._answer_to_swap, b""
        if not earlier:
            self._answer_to_swap = data
            return
        self._link.wrong_answers += 2
        await self.write_answer(data + earlier, wrong=True)

    async def _send_previous(self, data: bytes) -> None:
        link = self._link
        previous, link.previous_answer = link.previous_answer, data
        link.wrong_answers += bool(previous)
        await self.write_answer(previous or data, wrong=bool(previous))

    async def _read_unit(self, reader: StreamReader) -> bytes:
        try:
            if self._link.framing is Framing.RAW:
                return await reader.read(READ_BYTES)
            header = await reader.readexactly(FRAME_HEADER_BYTES)
            size = int.from_bytes(header, "little") & FRAME_LENGTH_MASK
            return header + await reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            return b""

    async def _write(self, writer: StreamWriter, data: bytes) -> None:
        rule = self._use_rule(RuleKind.SLOW_BYTES, data=data)
        if rule is None:
            writer.write(data)
            await writer.drain()
            return
        for start in range(0, len(data), SLOW_CHUNK_BYTES):
            chunk = data[start : start + SLOW_CHUNK_BYTES]
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(len(chunk) / rule.bytes_per_s)

    def _drops(self, data: bytes) -> bool:
        return self._use_rule(RuleKind.HALF_OPEN, data=data) is not None

    async def _delay(self, data: bytes) -> None:
        rule = self._use_rule(RuleKind.DELAY, data=data)
        if rule is not None:
            await asyncio.sleep(rule.delay_ms / 1000)

    def _use_rule(self, *kinds: RuleKind, data: bytes) -> Rule | None:
        return self._link.rules.use_first(
            kinds, connection=self.number, first_request=self._first_request, data=data
        )

    def _close(self) -> None:
        for writer in (self._client_writer, self._target_writer):
            if writer is not None:
                with suppress(OSError, RuntimeError):
                    writer.close()


class ProxyLink:
    """Listen on one address and forward to a target."""

    def __init__(self, name: str, target: str, framing: Framing) -> None:
        self.name = name
        self.target = target
        self.framing = framing
        self.address = ""
        self.rules = RuleTable()
        self.held: list[HeldAnswer] = []
        self.connections: dict[int, ProxyConnection] = {}
        self.accepted = 0
        self.wrong_answers = 0
        self.previous_answer = b""
        # Maximum number of requests on one connection after a wrong answer.
        self.after_wrong_max = 0
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, address: str) -> None:
        """Listen on an address; port 0 picks a free one."""
        host, _, port = address.rpartition(":")
        self._listener = await asyncio.start_server(self._accept, host, int(port))
        self.address = stand_in.format_address(self._listener.sockets[0].getsockname())

    async def stop(self) -> None:
        """Stop listening and cut all connections."""
        if self._listener is not None:
            self._listener.close()
        self.cut()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, connection: int = 0) -> int:
        """Cut one connection, or all for 0, and return the number cut."""
        selected = [
            entry
            for entry in self.connections.values()
            if connection in (0, entry.number)
        ]
        for entry in selected:
            entry.cut()
        return len(selected)

    async def release(self, *, crossed: bool) -> int:
        """Send the held answers, in reverse order if `crossed`; return their number."""
        held = self.held
        self.held = []
        for entry in reversed(held) if crossed else held:
            # Writing to a transport that has closed raises RuntimeError.
            with suppress(OSError, RuntimeError):
                await entry.connection.write_answer(entry.data)
        return len(held)

    async def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.rules.use_first((RuleKind.REFUSE,)) is not None:
            writer.transport.abort()
            return
        self.accepted += 1
        connection = ProxyConnection(self, self.accepted, reader, writer)
        self.connections[connection.number] = connection
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await connection.run()
        finally:
            del self.connections[connection.number]
            self._tasks.discard(task)
