"""Fake of the operator listener of a daemon, for tests of the client."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from aiohttp.web import Application
from aiohttp.web import AppRunner
from aiohttp.web import Request
from aiohttp.web import Response
from aiohttp.web import TCPSite
from aiohttp.web import json_response

TOKEN = "operator-token"


@dataclass(slots=True)
class ReceivedCall:
    """Request that the server received."""

    method: str
    path: str
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ScriptedResponse:
    """Response to one request; without a status the connection is aborted."""

    status: int | None
    body: dict[str, Any] = field(default_factory=dict)


class FakeOperatorServer:
    """Return scripted responses by method and path."""

    def __init__(self) -> None:
        self.received: list[ReceivedCall] = []
        self.address = ""
        self._responses: dict[str, list[ScriptedResponse]] = {}
        self._runner: AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        app = Application()
        app.router.add_route("*", "/{path:.*}", self._respond)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    def script(self, call: str, *responses: ScriptedResponse) -> None:
        """Set the responses to a call; the last one is repeated."""
        self._responses[call] = list(responses)

    def bodies(self, method: str) -> list[dict[str, Any]]:
        """Return the bodies of all received requests with a method."""
        return [item.body for item in self.received if item.method == method]

    async def _respond(self, request: Request) -> Response:
        body = await request.json() if request.can_read_body else {}
        self.received.append(ReceivedCall(request.method, request.path, body))
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return json_response({"outcome": "unauthorized"}, status=401)
        responses = self._responses.get(f"{request.method} {request.path}", [])
        if not responses:
            return json_response({"outcome": "not_found"}, status=404)
        scripted = responses.pop(0) if len(responses) > 1 else responses[0]
        if scripted.status is None:
            assert request.transport is not None
            request.transport.abort()
            return Response(status=500)
        return json_response(scripted.body, status=scripted.status)
