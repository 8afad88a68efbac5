"""In-memory object store for tests with the protocol of docs/upstreams.md."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from aiohttp.web import Application
from aiohttp.web import AppRunner
from aiohttp.web import Request
from aiohttp.web import Response
from aiohttp.web import TCPSite
from aiohttp.web import json_response


class PutFault(Enum):
    """How the answer to a write is lost."""

    LOST_AFTER_WRITE = "lost after write"
    LOST_BEFORE_WRITE = "lost before write"
    WRITTEN_LATE = "written late"
    WRITTEN_BEFORE_NEXT_PUT = "written before next put"


@dataclass(slots=True)
class FakeObject:
    """Stored object; the value is None when it was deleted."""

    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class HeldWrite:
    """Write that is received but not applied yet."""

    request: Request
    value: bytes


class FakeStore:
    """Serve objects from memory with injected faults."""

    def __init__(self) -> None:
        self.objects: dict[str, FakeObject] = {}
        # All values ever written, by key.
        self.history: dict[str, list[bytes]] = {}
        self.version = 0
        self.outage = False
        # Number of requests still to be answered with 429.
        self.rate_refusals = 0
        self.put_faults: list[PutFault] = []
        self.late_write_delay_s = 0.05
        # An outage begins after this many further writes.
        self.outage_after_writes: int | None = None
        self.oldest_watch_version = 0
        self.calls: Counter[str] = Counter()
        self.address = ""
        self._changed = asyncio.Event()
        # Write that is applied right before the next one.
        self._held_write: HeldWrite | None = None
        self._late_writes: set[asyncio.Task[None]] = set()
        self._runner: AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = Application(client_max_size=2 << 20)
        app.router.add_get("/v1/objects/{key:.+}", self._get)
        app.router.add_put("/v1/objects/{key:.+}", self._put)
        app.router.add_get("/v1/objects", self._list)
        app.router.add_get("/v1/watch", self._watch)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Close the listener."""
        await asyncio.gather(*self._late_writes)
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, key: str, value: bytes | None) -> int:
        """Write without a condition."""
        self.version += 1
        self.objects[key] = FakeObject(version=self.version, value=value)
        if value is not None:
            self.history.setdefault(key, []).append(value)
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return self.version

    def value(self, key: str) -> bytes | None:
        """Return the value of an object."""
        found = self.objects.get(key)
        return None if found is None else found.value

    def _refusal(self, kind: str) -> Response | None:
        self.calls[kind] += 1
        if self.outage:
            return Response(status=503)
        if self.rate_refusals > 0:
            self.rate_refusals -= 1
            return Response(status=429)
        return None

    async def _get(self, request: Request) -> Response:
        refusal = self._refusal("get")
        if refusal is not None:
            return refusal
        found = self.objects.get(request.match_info["key"])
        if found is None or found.value is None:
            return Response(status=404)
        return Response(body=found.value, headers={"ETag": f'"{found.version}"'})

    async def _put(self, request: Request) -> Response:
        refusal = self._refusal("put")
        if refusal is not None:
            return refusal
        value = await request.read()
        if self._held_write is not None:
            self._conditional_write(self._held_write.request, self._held_write.value)
            self._held_write = None
        fault = self.put_faults.pop(0) if self.put_faults else None
        if fault is PutFault.LOST_BEFORE_WRITE:
            return self._drop(request)
        if fault is PutFault.WRITTEN_BEFORE_NEXT_PUT:
            self._held_write = HeldWrite(request, value)
            return self._drop(request)
        if fault is PutFault.WRITTEN_LATE:
            self._late_writes.add(asyncio.create_task(self._write_late(request, value)))
            return self._drop(request)
        response = self._conditional_write(request, value)
        if self.outage_after_writes is not None:
            self.outage_after_writes -= 1
            self.outage = self.outage_after_writes <= 0
        if fault is PutFault.LOST_AFTER_WRITE:
            return self._drop(request)
        return response

    def _conditional_write(self, request: Request, value: bytes) -> Response:
        key = request.match_info["key"]
        found = self.objects.get(key)
        current = None if found is None or found.value is None else found.version
        match = request.headers.get("If-Match")
        expected = None if match is None else int(match.strip('"'))
        if current != expected:
            return Response(status=412)
        return Response(headers={"ETag": f'"{self.write(key, value)}"'})

    async def _write_late(self, request: Request, value: bytes) -> None:
        await asyncio.sleep(self.late_write_delay_s)
        self._conditional_write(request, value)

    @staticmethod
    def _drop(request: Request) -> Response:
        if request.transport is not None:
            request.transport.abort()
        return Response(status=500)

    async def _list(self, request: Request) -> Response:
        refusal = self._refusal("list")
        if refusal is not None:
            return refusal
        return self._objects_after(request.query["prefix"], -1, deleted=False)

    async def _watch(self, request: Request) -> Response:
        refusal = self._refusal("watch")
        if refusal is not None:
            return refusal
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        if after < self.oldest_watch_version:
            return Response(status=410)
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + int(request.query["wait_ms"]) / 1000
        while loop.time() < give_up_at_s and not self._any_after(prefix, after):
            left_s = max(0.0, give_up_at_s - loop.time())
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        if self.outage:
            return Response(status=503)
        return self._objects_after(prefix, after, deleted=True)

    def _any_after(self, prefix: str, after: int) -> bool:
        return any(
            key.startswith(prefix) and item.version > after
            for key, item in self.objects.items()
        )

    def _objects_after(self, prefix: str, after: int, *, deleted: bool) -> Response:
        objects = [
            {"key": key, "version": item.version, "value_base64": _base64(item.value)}
            for key, item in self.objects.items()
            if key.startswith(prefix)
            and item.version > after
            and (deleted or item.value is not None)
        ]
        return json_response({"version": self.version, "objects": objects})


def _base64(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()
