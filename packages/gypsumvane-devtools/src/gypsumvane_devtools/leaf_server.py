"""HTTP listener of one simulated leaf."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from gypsumvane_devtools import stand_in
from gypsumvane_devtools.leaf import ProcessDown
from gypsumvane_devtools.leaf import WorkRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_protocol import RequestHandler

    from gypsumvane_devtools.leaf import Leaf
    from gypsumvane_devtools.leaf import WorkAnswer

WORK_PATHS = {"/v1/search": "search", "/v1/lookup": "lookup", "/v1/run": "run"}
CANCEL_PREFIX = "/v1/requests/"
REOPEN_RETRY_S = 0.02


class BoundedServer(web.Server):
    """Accept a limited number of connections, each with a set-up delay."""

    def __init__(self, leaf: Leaf, handler: Callable[..., Any]) -> None:
        super().__init__(handler, access_log=None, keepalive_timeout=3600.0)
        self._leaf = leaf
        self._open: dict[RequestHandler, asyncio.Transport] = {}
        self._ready_at_s: dict[RequestHandler, float] = {}
        self._accept_busy_until_s = 0.0

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a connection, or refuse it above the limit."""
        super().connection_made(handler, transport)
        counters = self._leaf.counters
        limit = self._leaf.settings.connections_max
        if self._leaf.down or len(self._open) >= limit:
            counters.connections_refused += 1
            # aiohttp must start its handler task before the connection is lost.
            asyncio.get_running_loop().call_soon(transport.abort)
            return
        self._open[handler] = transport
        self._ready_at_s[handler] = self._schedule_accept()
        counters.connections_opened += 1
        counters.connections_max = max(counters.connections_max, len(self._open))

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a closed connection."""
        super().connection_lost(handler, exc)
        self._open.pop(handler, None)
        self._ready_at_s.pop(handler, None)

    def abort_connections(self) -> None:
        """Close all connections without an answer."""
        for transport in list(self._open.values()):
            transport.abort()

    async def wait_until_ready(self, handler: RequestHandler | None) -> None:
        """Wait until the set-up delay of this connection has passed."""
        if handler is None:
            return
        wait_s = self._ready_at_s.pop(handler, 0.0) - asyncio.get_running_loop().time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def _schedule_accept(self) -> float:
        # New connections are set up one after the other.
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._accept_busy_until_s)
        self._accept_busy_until_s = start_s + self._leaf.settings.connect_ms / 1000
        return self._accept_busy_until_s


class LeafServer:
    """Serve one leaf over HTTP; it can stop and restart on the same port."""

    def __init__(self, leaf: Leaf) -> None:
        self.leaf = leaf
        self.address = leaf.settings.address
        self._server = BoundedServer(leaf, self._handle)
        self._listener: asyncio.Server | None = None
        self._reopening: asyncio.Task[None] | None = None
        leaf.on_process_end = self._on_process_end

    async def start(self) -> None:
        """Listen; after a stop, on the same port as before."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port), backlog=stand_in.BACKLOG
        )
        self.address = stand_in.format_address(self._listener.sockets[0].getsockname())

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._reopening is not None:
            self._reopening.cancel()
        self._close_listener()
        self._server.abort_connections()
        await asyncio.sleep(0)

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _on_process_end(self, outage_s: float) -> None:
        self._server.abort_connections()
        if outage_s <= 0 or self._listener is None:
            return
        # Connections are refused during the outage, as if the process had crashed.
        self._close_listener()
        self._reopening = asyncio.create_task(self._reopen(outage_s))

    async def _reopen(self, outage_s: float) -> None:
        await asyncio.sleep(outage_s)
        while self._listener is None:
            try:
                await self.start()
            except OSError:
                # An outgoing connection may use the port for a moment.
                await asyncio.sleep(REOPEN_RETRY_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await self._server.wait_until_ready(request.protocol)
        if request.method == "GET" and request.path == "/v1/status":
            return self._status(request)
        if request.method == "DELETE" and request.path.startswith(CANCEL_PREFIX):
            return self._cancel(request)
        kind = WORK_PATHS.get(request.path)
        if request.method == "POST" and kind is not None:
            return await self._handle_work(kind, request)
        return web.json_response({"error": "not_found"}, status=404)

    def _status(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.leaf.down:
            return abort_connection(request)
        body = json.dumps(self.leaf.status()).encode()
        return web.Response(body=body, headers=self._headers(request))

    def _cancel(self, request: web.BaseRequest) -> web.StreamResponse:
        self.leaf.cancel(request.path.removeprefix(CANCEL_PREFIX))
        return web.Response(status=204, headers=self._headers(request))

    async def _handle_work(
        self, kind: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = await request.read()
        try:
            work = parse_work(kind, request, body)
        except ValueError:
            return web.json_response({"error": "bad_request"}, status=400)
        try:
            answer = await self.leaf.handle(work)
        except ProcessDown:
            return abort_connection(request)
        return self._response(request, answer)

    def _response(
        self, request: web.BaseRequest, answer: WorkAnswer
    ) -> web.StreamResponse:
        headers = self._headers(request)
        if answer.not_run:
            headers["Verdict"] = "not-run"
        if answer.snapshot is not None:
            headers["Snapshot"] = str(answer.snapshot)
        if answer.retry_after_ms is not None:
            headers["Retry-After-Ms"] = str(answer.retry_after_ms)
        return web.Response(status=answer.status, body=answer.body, headers=headers)

    def _headers(self, request: web.BaseRequest) -> dict[str, str]:
        leaf = self.leaf
        headers = {
            "Content-Type": "application/json",
            "Boot-Id": leaf.boot_id,
            "Upstream-Version": leaf.settings.version,
            "Request-Id": request.headers.get("Request-Id", ""),
        }
        if leaf.draining:
            headers["Draining"] = "1"
        return headers


def parse_work(kind: str, request: web.BaseRequest, body: bytes) -> WorkRequest:
    """Parse the headers and body of a request.

    Raises ValueError when one of them is malformed.
    """
    values = json.loads(body)
    if not isinstance(values, dict):
        raise ValueError("body is not a JSON object")
    headers = request.headers
    deadline = headers.get("Deadline-Ms")
    snapshot = headers.get("Snapshot")
    return WorkRequest(
        kind=kind,
        request_id=headers.get("Request-Id", ""),
        deadline_ms=None if deadline is None else float(deadline),
        snapshot=None if snapshot is None else int(snapshot),
        idempotency_key=headers.get("Idempotency-Key", ""),
        body=values,
    )


def abort_connection(request: web.BaseRequest) -> web.StreamResponse:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
