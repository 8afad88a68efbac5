"""A fake of a daemon's operators' listener, for tests of the client."""

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
    """Record one request."""

    method: str
    path: str
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ScriptedResponse:
    """Answer one request; without a status the connection is dropped."""

    status: int | None
    body: dict[str, Any] = field(default_factory=dict)


class FakeOperatorServer:
    """Give scripted answers by method and path."""

    def __init__(self) -> None:
        self.received: list[ReceivedCall] = []
        self.address = ""
        self._answers: dict[str, list[ScriptedResponse]] = {}
        self._runner: AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    def script(self, call: str, *answers: ScriptedResponse) -> None:
        """Answer a call; the last answer is repeated."""
        self._answers[call] = list(answers)

    def bodies(self, method: str) -> list[dict[str, Any]]:
        """Return the bodies of all requests with a method."""
        return [item.body for item in self.received if item.method == method]

    async def _answer(self, request: Request) -> Response:
        body = await request.json() if request.can_read_body else {}
        self.received.append(ReceivedCall(request.method, request.path, body))
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return json_response({"outcome": "unauthorized"}, status=401)
        answers = self._answers.get(f"{request.method} {request.path}", [])
        if not answers:
            return json_response({"outcome": "not_found"}, status=404)
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer.status is None:
            assert request.transport is not None
            request.transport.abort()
            return Response(status=500)
        return json_response(answer.body, status=answer.status)
