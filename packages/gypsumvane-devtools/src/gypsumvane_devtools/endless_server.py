"""Server whose responses never end, for tests of readers of outside bytes.

``python -m gypsumvane_devtools.endless_server COUNT [KIND ...]`` runs that many
servers, prints their addresses and serves the kinds of endless responses, by default
all of them, until standard input ends.
"""

from __future__ import annotations

import asyncio
import sys

from gypsumvane_devtools.scripted_server import ScriptedServer

BLOCK = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\n"
# Start of the response and the bytes that are repeated after it, by name.
ENDLESS_RESPONSES = {
    "head line": (b"HTTP/1.1 200 ", BLOCK),
    "header value": (HEAD + b"Filler: ", BLOCK),
    "headers": (HEAD, b"Filler: x\r\n" * 1000),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "body until close": (HEAD + b"\r\n", BLOCK),
    "body with a large length": (
        HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        BLOCK,
    ),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;a=", BLOCK),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"Filler: x\r\n" * 1000,
    ),
    "responses to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" * 1000,
    ),
}


class EndlessServer(ScriptedServer):
    """Answer each request with a response that ends only with the connection."""

    def __init__(self, start: bytes, repeated: bytes, *, first: bytes = b"") -> None:
        super().__init__()
        self._start = start
        self._repeated = repeated
        # A whole response to the first request, which the endless bytes follow.
        self._first = first
        self.bytes_written = 0

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request without end."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._first + self._start)
        while True:
            writer.write(self._repeated)
            self.bytes_written += len(self._repeated)
            await writer.drain()
            # A drain without back-pressure does not yield to the event loop.
            await asyncio.sleep(0)


async def serve(count: int, names: list[str]) -> None:
    """Serve kinds of endless responses in turn until standard input ends."""
    kinds = [ENDLESS_RESPONSES[name] for name in names or ENDLESS_RESPONSES]
    servers = [EndlessServer(*kinds[at % len(kinds)]) for at in range(count)]
    for server in servers:
        await server.start()
    print(*(server.address for server in servers), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for server in servers:
        await server.stop()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2:]))
