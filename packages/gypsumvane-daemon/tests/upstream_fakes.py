"""Fakes of the services and upstreams that the home role depends on."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web

from fake_service import FakeService
from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.messages import Document

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class FakeMembership(FakeService):
    """Assign every leaf to one VM, with a configurable share of the limits."""

    name = "membership"

    def __init__(self, home: str | None = "vm-1") -> None:
        self.home = home
        # "full", "half" (rounded up), "other_half" (rounded down) or "none".
        self.share = "full"
        self._listeners: list[Callable[[], None]] = []
        self.release_check: Callable[[str], bool] | None = None

    def home_of(self, leaf_id: str) -> str | None:
        return self.home

    def allowance(self, leaf_id: str, limit: int) -> int:
        shares = {"full": limit, "half": (limit + 1) // 2, "other_half": limit // 2}
        return shares.get(self.share, 0)

    def on_change(self, listener: Callable[[], None]) -> None:
        self._listeners.append(listener)

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        self.release_check = check

    def add_contributor(self, contributor: object) -> None:
        """Ignore the contributor; there are no heartbeats."""

    def set_home(self, home: str | None) -> None:
        self.home = home
        for listener in self._listeners:
            listener()


class FakeDocuments(FakeService):
    """Hold documents that tests apply directly."""

    name = "documents"

    def __init__(self) -> None:
        self.catalogue = DocumentCatalogue()
        self._listeners: list[Callable[[str], None]] = []

    def on_change(self, listener: Callable[[str], None]) -> None:
        self._listeners.append(listener)

    def put(self, name: str, body: dict[str, object]) -> None:
        revision = self.catalogue.revisions().get(name, 0) + 1
        self.catalogue.apply(
            Document(
                name=name,
                revision=revision,
                change_id=f"{name}-{revision}",
                author="test",
                reason="test",
                accepted_unix_ms=0,
                body=json.dumps(body).encode(),
            )
        )
        for listener in self._listeners:
            listener(name)

    def put_index(self, leaves: list[dict[str, object]]) -> None:
        self.put(
            "index/stock",
            {
                "name": "stock",
                "kind": "search",
                "leaves": leaves,
                "partition_maps": {7: ["shelf"]},
            },
        )

    def put_policy(self, **values: int) -> None:
        self.put("fleet", {"defaults": values})


@dataclass
class FakeLeaf:
    """HTTP server of the upstream contract with configurable behaviour."""

    boot_id: str = "boot-1"
    snapshot: str = "7"
    draining: bool = False
    cold: bool = False
    snapshots: list[int] = field(default_factory=lambda: [7])
    # Overrides the answer to searches, lookups and runs.
    answer: Callable[[web.Request], Awaitable[web.StreamResponse]] | None = None
    # Whether cancellations are answered.
    confirms_cancel: bool = True
    calls: list[dict[str, str]] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    running: int = 0
    running_max: int = 0
    connections: int = 0
    address: str = ""
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        for path in ("/v1/search", "/v1/lookup", "/v1/run"):
            app.router.add_post(path, self._work)
        app.router.add_delete("/v1/requests/{id}", self._delete)
        app.router.add_get("/v1/status", self._status)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = "127.0.0.1:" + str(self._runner.addresses[0][1])

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def headers(self, request: web.Request) -> dict[str, str]:
        headers = {"Boot-Id": self.boot_id, "Upstream-Version": "v1"}
        headers["Request-Id"] = request.headers.get("Request-Id", "")
        if self.snapshot:
            headers["Snapshot"] = self.snapshot
        if self.draining:
            headers["Draining"] = "1"
        return headers

    def refusal(self, request: web.Request, status: int, error: str) -> web.Response:
        headers = self.headers(request) | {"Verdict": "not-run"}
        return web.json_response({"error": error}, status=status, headers=headers)

    async def _work(self, request: web.Request) -> web.StreamResponse:
        self.calls.append({"path": request.path, **request.headers})
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        try:
            if self.answer is not None:
                return await self.answer(request)
            await asyncio.sleep(0)
            return web.json_response({"hits": []}, headers=self.headers(request))
        finally:
            self.running -= 1

    async def _delete(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info["id"])
        if not self.confirms_cancel:
            return await answer_late(request)
        return web.Response(status=204)

    async def _status(self, request: web.Request) -> web.Response:
        body = {
            "boot_id": self.boot_id,
            "version": "v1",
            "draining": self.draining,
            "cold": self.cold,
            "snapshots": self.snapshots,
        }
        return web.json_response(body, headers=self.headers(request))


async def close_connection(request: web.Request) -> web.Response:
    """Close the connection of a request without answering."""
    assert request.transport is not None
    request.transport.close()
    return web.Response()


async def answer_late(request: web.Request) -> web.Response:
    """Answer later than any deadline used in the tests."""
    await asyncio.sleep(30)
    return web.Response()
