"""HTTP server whose connections count in the budget for clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web import RequestHandler
from aiohttp.web import Response
from aiohttp.web import Server

from gypsumvane_core.client_budget import ClientPhase
from gypsumvane_core.client_budget import ClientUse
from gypsumvane_core.client_budget import EndReason
from gypsumvane_daemon.client_guard import GuardedConnection

if TYPE_CHECKING:
    import asyncio

    from aiohttp.streams import StreamReader
    from aiohttp.web import BaseRequest
    from aiohttp.web import StreamResponse

    from gypsumvane_daemon.client_guard import ClientGuard

# Longest header line that the parser accepts. It is as large as the usual configured
# limit of all headers together, which handlers enforce.
HEADER_LINE_BYTES = 65_536
# Idle time after which a connection is closed, unless a listener sets another.
IDLE_TIMEOUT_S = 60.0
# Bytes that are parsed at a time. Small pieces become objects of many times their size,
# and the parser returns everything in its input at once.
PARSED_BYTES_MAX = 8192
# Bytes of a body's framing per byte, beyond those of a head: chunks of one byte take 6.
FRAMING_FACTOR = 16
# Pieces in which a large answer is written.
PIECE_BYTES = 65_536
# Pieces of a body that are joined when nobody has read them yet.
PIECES_MAX = 32
# Whole requests that wait behind the one in progress on a connection.
QUEUED_REQUESTS_MAX = 4
# Memory of a request that waits, beside its body.
QUEUED_REQUEST_BYTES = 4096
_REFUSALS = {
    EndReason.MEMORY: ("503 Service Unavailable", "Retry-After: 1\r\n"),
    EndReason.CONNECTIONS: ("503 Service Unavailable", "Retry-After: 1\r\n"),
    EndReason.HEAD_TIMEOUT: ("408 Request Timeout", ""),
    EndReason.STALLED: ("408 Request Timeout", ""),
    EndReason.HEAD_TOO_LARGE: ("431 Request Header Fields Too Large", ""),
}


@dataclass(slots=True)
class ListenerRules:
    """Hold what clients of one listener may send."""

    listener: str
    # Bytes of a head, and of what precedes it.
    head_bytes_max: int = HEADER_LINE_BYTES
    # Longest time from the first byte of a head to its end.
    head_timeout_s: float = 10.0
    # Name of the header that identifies a request, empty without one.
    request_id_header: str = ""


@dataclass(frozen=True, slots=True)
class ListenerGuard:
    """Hold the guard of a process and the rules of one of its listeners."""

    guard: ClientGuard
    rules: ListenerRules


class GuardedServer(Server):
    """Serve HTTP on connections that a guard may end."""

    def __init__(self, handler: Any, listener: ListenerGuard, **options: Any) -> None:
        super().__init__(handler, **options)
        self.listener = listener

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return GuardedRequestHandler(self, loop=self._loop, **self._kwargs)


class GuardedRequestHandler(RequestHandler, GuardedConnection):
    """Serve one connection within the budget.

    aiohttp bounds the lines of a head but not the number of lines, what precedes a
    request, the time for a head, the pieces of a body and the answers that wait.
    Private attributes are those of the version that ``constraints.txt`` pins.
    """

    __slots__ = (
        "use",
        "_guard",
        "_rules",
        "_head_bytes",
        "_body_bytes",
        "_newest_payload",
        "_pending",
        "_answer_bytes",
        "_moved_bytes",
        "_last_unsent_bytes",
        "_ended",
    )

    def __init__(self, server: GuardedServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._guard = server.listener.guard
        self._rules = server.listener.rules
        self.use = ClientUse(head_timeout_s=self._rules.head_timeout_s)
        # Bytes since the last complete head, outside of a body.
        self._head_bytes = 0
        # Bytes of the body that is being received, with its framing.
        self._body_bytes = 0
        # Body of the last request whose head has arrived.
        self._newest_payload: StreamReader | None = None
        # Received bytes that wait until the queue of requests has room.
        self._pending = b""
        # Size of the body that is being written in pieces.
        self._answer_bytes = 0
        # Bytes that were received, or sent and read by the client.
        self._moved_bytes = 0
        self._last_unsent_bytes = 0
        self._ended = False
        self._max_msg_queue_size = QUEUED_REQUESTS_MAX
        self._msg_queue_resume_size = QUEUED_REQUESTS_MAX // 2

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._guard.remove(self)
        self._pending = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as there is room for them."""
        self._moved_bytes += len(data)
        data = self._pending + data
        self._pending = b""
        if not data:
            self._parse(data)
            return
        for start in range(0, len(data), PARSED_BYTES_MAX):
            if len(self._messages) >= self._max_msg_queue_size and start:
                self._pending = data[start:]
                break
            part = data[start : start + PARSED_BYTES_MAX]
            if self._ended or not self._guard.make_room(self, len(part)):
                return
            self._parse(part)
        self.refresh()

    def pause_writing(self) -> None:
        """Count an answer that waits for its reader."""
        super().pause_writing()
        self.refresh()
        # Not within the write, which another connection's end must not interrupt.
        self._loop.call_soon(self._guard.relieve)

    def resume_writing(self) -> None:
        """Count an answer that its reader has read."""
        super().resume_writing()
        self.refresh()

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Write a response, whose body is held once, and release it.

        aiohttp keeps the last response of a connection until the next request.
        """
        try:
            if isinstance(resp, Response):
                await self._write_large_body(request, resp)
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            return resp, True
        finally:
            self._answer_bytes = 0
            if isinstance(resp, Response):
                resp._body = None

    async def _write_large_body(self, request: BaseRequest, resp: Response) -> None:
        """Write a large body in pieces, so that it is not copied as a whole."""
        body = resp._body
        if not isinstance(body, bytes) or len(body) <= PIECE_BYTES:
            return
        writer = await resp.prepare(request)
        if writer is None or resp._must_be_empty_body:
            return
        self._answer_bytes = len(body)
        whole = memoryview(body)
        for start in range(0, len(body), PIECE_BYTES):
            await writer.write(whole[start : start + PIECE_BYTES])
            await writer.drain()
        resp._body = None

    def refresh(self) -> None:
        """Record the current use in the budget."""
        unsent_bytes = self._unsent_bytes()
        self._moved_bytes += max(0, self._last_unsent_bytes - unsent_bytes)
        self._last_unsent_bytes = unsent_bytes
        self._guard.budget.update(
            self.use,
            self._phase(unsent_bytes),
            unfinished_bytes=self._unfinished_bytes(),
            unsent_bytes=unsent_bytes + self._answer_bytes,
            moved_bytes=self._moved_bytes,
        )

    def end(self, reason: EndReason) -> None:
        """End the connection, with a refusal if no answer to it has begun."""
        transport = self.transport
        if transport is None:
            return
        self._ended = True
        self._force_close = True
        if self._may_refuse():
            # The handler must not begin or go on after the refusal.
            if self._task_handler is not None:
                self._task_handler.cancel()
            status, fields = _REFUSALS[reason]
            transport.write(
                f"HTTP/1.1 {status}\r\n{fields}Content-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            transport.close()
        else:
            transport.abort()

    def describe(self) -> tuple[str, str, str]:
        """Return the listener, the client's address and the request's identifier."""
        peer = self.peername
        address = f"{peer[0]}:{peer[1]}" if isinstance(peer, tuple) else str(peer)
        request_id = ""
        if self._current_request is not None and self._rules.request_id_header:
            headers = self._current_request.headers
            request_id = headers.get(self._rules.request_id_header, "")
        return self._rules.listener, address, request_id

    def _parse(self, part: bytes) -> None:
        requests = self._request_count
        in_body = self._receives_body()
        super().data_received(part)
        if self._request_count != requests and self._messages:
            payload = self._messages[-1][1]
            self._newest_payload = None if payload is EMPTY_PAYLOAD else payload
            self._head_bytes = self._body_bytes = 0
        elif in_body:
            # The rest of a part that ends a body does not count as a head.
            self._body_bytes += len(part)
        else:
            self._head_bytes += len(part)
        if self._newest_payload is not None:
            _join_pieces(self._newest_payload)
        if self._exceeds_rules():
            self.refresh()
            self._guard.end(self, EndReason.HEAD_TOO_LARGE)

    def _receives_body(self) -> bool:
        payload = self._newest_payload
        return payload is not None and not payload.is_eof()

    def _exceeds_rules(self) -> bool:
        """Return whether a head, or the framing of a body, takes too many bytes."""
        if self._head_bytes > self._rules.head_bytes_max + PARSED_BYTES_MAX:
            return True
        payload = self._newest_payload
        return payload is not None and self._body_bytes > (
            HEADER_LINE_BYTES + FRAMING_FACTOR * payload.total_bytes
        )

    def _phase(self, unsent_bytes: int) -> ClientPhase:
        if self._current_request is not None:
            content = self._current_request.content
            return ClientPhase.RUNNING if content.is_eof() else ClientPhase.BODY
        if unsent_bytes or self._request_in_progress:
            return ClientPhase.ANSWER
        if self._receives_body():
            # Also a body whose request has been answered early.
            return ClientPhase.BODY
        if self._messages:
            return ClientPhase.RUNNING
        return ClientPhase.HEAD if self._head_bytes else ClientPhase.IDLE

    def _unfinished_bytes(self) -> int:
        """Return the bytes of requests that are incomplete, waiting or in progress."""
        total = self._head_bytes + len(self._pending) + len(self._message_tail)
        if self._current_request is not None:
            total += self._current_request.content.total_bytes
        elif self._newest_payload is not None:
            total += self._newest_payload._size
        for _, payload in self._messages:
            total += QUEUED_REQUEST_BYTES + payload.total_bytes
        return total

    def _unsent_bytes(self) -> int:
        transport = self.transport
        if transport is None or self._ended:
            return 0
        return transport.get_write_buffer_size()

    def _may_refuse(self) -> bool:
        """Return whether an answer may say that the request was not run."""
        if self.use.phase is ClientPhase.HEAD:
            return True
        incomplete = self._current_request is not None or len(self._messages) == 1
        return self.use.phase is ClientPhase.BODY and incomplete


def _join_pieces(payload: StreamReader) -> None:
    """Join the unread pieces of a body, each of which takes more than its bytes."""
    pieces = payload._buffer
    if len(pieces) < PIECES_MAX:
        return
    joined = b"".join(pieces)[payload._buffer_offset :]
    pieces.clear()
    pieces.append(joined)
    payload._buffer_offset = 0
    if payload._http_chunk_splits:
        # Ends of chunks, which no reader of this project asks for.
        payload._http_chunk_splits.clear()
