"""Crowd of HTTP clients that send requests without an end or read no answers.

``python -m gypsumvane_devtools.client_crowd KIND ADDRESS COUNT BYTES PATH [HEADER]...``
opens COUNT connections, prints a JSON line when nothing moves on them any more, keeps
them open until standard input ends, and prints how many the server had closed by then.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
from abc import ABC
from abc import abstractmethod
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_daemon.addresses import split_address

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST = "shop.example"
PATH = "/p/x"
# Connections that are opened at the same time.
OPENING_MAX = 50
# Time without any byte sent or received after which the crowd has settled.
QUIET_S = 1.5
# Longest time in which a crowd settles; clients that read slowly never do.
SETTLE_MAX_S = 20.0
POLL_INTERVAL_S = 0.1
# Rate at which a slow client reads, by READ_BYTES at a time.
READ_BYTES = 1024
READ_PAUSE_S = 0.35
# Receive buffer of a client that reads slowly or not at all.
RECEIVE_BUFFER_BYTES = 4096
CHUNK = b"10\r\n" + b"x" * 16 + b"\r\n"
# Most bytes that a client sends of something that has no end.
ENDLESS_BYTES_MAX = 4 * 2**20
# Whole requests that a client sends without reading an answer.
PIPELINED_REQUESTS = 30


@dataclass(slots=True)
class CrowdCounts:
    """Count what happened to the connections of a crowd."""

    connected: int = 0
    refused: int = 0
    closed_by_server: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class ClientKind(ABC):
    """Send the bytes of one kind of client."""

    # Size of the receive buffer, 0 for the system's default.
    receive_buffer_bytes = 0
    reads_slowly = False

    def __init__(self, size_bytes: int, path: str, headers: Sequence[str]) -> None:
        self.size_bytes = size_bytes
        self.path = path
        # Header lines; ``{number}`` stands for the number of the client.
        self._headers = headers

    def head(self, number: int, method: str, *lines: str) -> bytes:
        """Return the head of a request without its last empty line."""
        fields = [
            f"{method} {self.path} HTTP/1.1",
            f"Host: {HOST}",
            *(line.format(number=number) for line in self._headers),
            *lines,
        ]
        return ("\r\n".join(fields) + "\r\n").encode()

    @abstractmethod
    def pieces(self, number: int) -> list[bytes]:
        """Return what a client sends, in order."""


class ShortBody(ClientKind):
    """Stop one byte before the end of a body with a length."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a head and all but the last byte of its body."""
        head = self.head(number, "POST", f"Content-Length: {self.size_bytes}")
        return [head + b"\r\n", b"x" * (self.size_bytes - 1)]


class WholeBody(ClientKind):
    """Send a whole request with a body and wait for the answer."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a head and its body."""
        head = self.head(number, "POST", f"Content-Length: {self.size_bytes}")
        return [head + b"\r\n", b"x" * self.size_bytes]


class SmallChunks(ClientKind):
    """Send a body in small chunks and stop before the last one."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a head and chunks of 16 bytes without the end."""
        head = self.head(number, "POST", "Transfer-Encoding: chunked")
        return [head + b"\r\n", CHUNK * (self.size_bytes // 16)]


class SlowReader(ClientKind):
    """Ask for a large answer and read it slowly."""

    receive_buffer_bytes = RECEIVE_BUFFER_BYTES
    reads_slowly = True

    def pieces(self, number: int) -> list[bytes]:
        """Return one request."""
        return [self.head(number, "GET") + b"\r\n"]


class PipelinedRequests(ClientKind):
    """Send whole requests one after the other and read no answer."""

    receive_buffer_bytes = RECEIVE_BUFFER_BYTES

    def pieces(self, number: int) -> list[bytes]:
        """Return the requests, each with a body."""
        head = self.head(number, "POST", f"Content-Length: {self.size_bytes}")
        return [head + b"\r\n" + b"x" * self.size_bytes] * PIPELINED_REQUESTS


class StoppedHead(ClientKind):
    """Stop within a head."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a head without its last empty line."""
        return [self.head(number, "GET", "Filler: " + "x" * self.size_bytes)]


class EndlessFields(ClientKind):
    """Send a head of short fields without an end."""

    def pieces(self, number: int) -> list[bytes]:
        """Return fields up to the bound of this tool."""
        line = b"Filler: x\r\n"
        return [
            self.head(number, "GET"),
            line * (ENDLESS_BYTES_MAX // len(line)),
        ]


class EndlessField(ClientKind):
    """Send a head with one field without an end."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a field up to the bound of this tool."""
        return [self.head(number, "GET") + b"Filler: ", b"x" * ENDLESS_BYTES_MAX]


class EmptyLines(ClientKind):
    """Send empty lines without an end before a request."""

    def pieces(self, number: int) -> list[bytes]:
        """Return empty lines up to the bound of this tool."""
        return [b"\r\n" * 32_768] * (ENDLESS_BYTES_MAX // 65_536)


class Silent(ClientKind):
    """Connect and send nothing."""

    def pieces(self, number: int) -> list[bytes]:
        """Return nothing to send."""
        return []


class LongFrame(ClientKind):
    """Announce a frame between daemons and stop before its end."""

    def pieces(self, number: int) -> list[bytes]:
        """Return a length and all but the last byte of the frame."""
        return [self.size_bytes.to_bytes(4, "little") + b"x" * (self.size_bytes - 1)]


KINDS: dict[str, type[ClientKind]] = {
    "short_body": ShortBody,
    "whole_body": WholeBody,
    "small_chunks": SmallChunks,
    "slow_reader": SlowReader,
    "pipelined_requests": PipelinedRequests,
    "stopped_head": StoppedHead,
    "endless_fields": EndlessFields,
    "endless_field": EndlessField,
    "empty_lines": EmptyLines,
    "silent": Silent,
    "long_frame": LongFrame,
}


class ClientCrowd:
    """Open the connections of a crowd and keep them."""

    def __init__(self, kind: ClientKind, address: str, count: int) -> None:
        self.counts = CrowdCounts()
        self._kind = kind
        self._address = split_address(address)
        self._count = count
        self._opening = asyncio.Semaphore(OPENING_MAX)

    async def run(self) -> None:
        """Run the crowd until standard input ends."""
        tasks = [
            asyncio.create_task(self._run_client(number))
            for number in range(self._count)
        ]
        await self._settle()
        print(json.dumps(asdict(self.counts)), flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        print(json.dumps(asdict(self.counts)), flush=True)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _settle(self) -> None:
        """Wait until nothing moves any more."""
        loop = asyncio.get_running_loop()
        begun_s = moved_s = loop.time()
        last = CrowdCounts()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s = loop.time()
            if self.counts != last:
                moved_s = now_s
                last = CrowdCounts(**asdict(self.counts))
            if now_s - moved_s >= QUIET_S or now_s - begun_s >= SETTLE_MAX_S:
                return

    async def _run_client(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if self._kind.receive_buffer_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self._kind.receive_buffer_bytes,
                )
            try:
                async with self._opening:
                    await loop.sock_connect(sock, self._address)
            except OSError:
                self.counts.refused += 1
                return
            self.counts.connected += 1
            try:
                await self._exchange(sock, number)
            except OSError:
                self.counts.closed_by_server += 1
        finally:
            # A reset frees the connections of a crowd at once.
            with_reset = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, with_reset)
            sock.close()

    async def _exchange(self, sock: socket.socket, number: int) -> None:
        reading = asyncio.create_task(self._read(sock))
        try:
            for piece in self._kind.pieces(number):
                await self._send(sock, piece)
            await reading
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _send(self, sock: socket.socket, piece: bytes) -> None:
        loop = asyncio.get_running_loop()
        view = memoryview(piece)
        while view:
            part = view[:65_536]
            await loop.sock_sendall(sock, part)
            self.counts.sent_bytes += len(part)
            view = view[len(part) :]

    async def _read(self, sock: socket.socket) -> None:
        """Read until the server closes the connection.

        Raises ConnectionError then.
        """
        loop = asyncio.get_running_loop()
        if self._kind.receive_buffer_bytes and not self._kind.reads_slowly:
            # Never reads; a failing write shows that the server has closed.
            await loop.create_future()
        while True:
            data = await loop.sock_recv(sock, READ_BYTES)
            if not data:
                raise ConnectionResetError("closed by the server")
            self.counts.received_bytes += len(data)
            if self._kind.reads_slowly:
                await asyncio.sleep(READ_PAUSE_S)


def main(arguments: list[str]) -> None:
    """Run the crowd that the arguments describe."""
    kind, address, count, size, path, *headers = arguments
    client = KINDS[kind](int(size), path, headers)

    async def run() -> None:
        await ClientCrowd(client, address, int(count)).run()

    asyncio.run(run())


if __name__ == "__main__":
    main(sys.argv[1:])
