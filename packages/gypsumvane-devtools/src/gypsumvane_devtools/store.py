"""Stand-in of the object store."""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from absl import app as absl_app
from absl import flags
from aiohttp import web

from gypsumvane_core.token_bucket import TokenBucket
from gypsumvane_devtools import stand_in
from gypsumvane_devtools.object_table import ObjectTable
from gypsumvane_devtools.store_faults import StoreCounters
from gypsumvane_devtools.store_faults import StoreFaults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumvane_devtools.object_table import ObjectVersion

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

FLAGS = flags.FLAGS
VALUE_MAX_BYTES = 1_000_000
WATCH_MAX_MS = 60_000
READ_KINDS = frozenset({"get", "list", "watch"})


class Store:
    """Implement the contract of the store with switchable faults."""

    def __init__(self, *, reads_per_s: float = 0.0, writes_per_s: float = 0.0) -> None:
        self.table = ObjectTable()
        self.faults = StoreFaults()
        self.counters = StoreCounters()
        self._reads = TokenBucket(reads_per_s, burst=max(1.0, reads_per_s))
        self._writes = TokenBucket(writes_per_s, burst=max(1.0, writes_per_s))
        self._faults_changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the HTTP application of the store and its control interface."""
        # The limit on values is checked by the handler, which answers 413.
        app = web.Application(client_max_size=2 * VALUE_MAX_BYTES)
        app.router.add_get("/v1/objects", self._with_faults("list", self._list))
        app.router.add_get("/v1/watch", self._with_faults("watch", self._watch))
        key = "/v1/objects/{key:.+}"
        app.router.add_get(key, self._with_faults("get", self._get), allow_head=False)
        app.router.add_put(key, self._with_faults("put", self._put))
        app.router.add_delete(key, self._with_faults("delete", self._delete))
        app.router.add_post("/control/outage", self._control_outage)
        app.router.add_post("/control/slow", self._control_slow)
        app.router.add_post("/control/lose-answers", self._control_lose)
        app.router.add_get("/control/counters", self._control_counters)
        app.on_shutdown.append(self._release_waiters)
        return app

    def _with_faults(self, kind: str, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            path = request.match_info.get("key") or request.query.get("prefix", "")
            self.counters.count(kind, path)
            await self._delay()
            if self.faults.outage:
                return await self._answer_in_outage()
            if not self._within_rate(kind):
                self.counters.refused_rate += 1
                return error(429, "rate_limited")
            return await handler(request)

        return handle

    def _within_rate(self, kind: str) -> bool:
        bucket = self._reads if kind in READ_KINDS else self._writes
        return bucket.take(time.monotonic())

    async def _delay(self) -> None:
        if self.faults.slow_ms > 0:
            await asyncio.sleep(self.faults.slow_ms / 1000)

    async def _answer_in_outage(self) -> web.Response:
        self.counters.refused_outage += 1
        while self.faults.outage and self.faults.silent:
            await self._faults_changed.wait()
        return error(503, "unavailable")

    async def _get(self, request: web.Request) -> web.StreamResponse:
        found = self.table.get(request.match_info["key"])
        if found is None:
            return error(404, "not_found")
        return web.Response(body=found.value, headers=etag(found.version))

    async def _put(self, request: web.Request) -> web.StreamResponse:
        value = await request.read()
        if len(value) > VALUE_MAX_BYTES:
            return error(413, "too_large")
        return self._write(request, value, status=200)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        if "If-Match" not in request.headers:
            return error(428, "precondition_required")
        return self._write(request, None, status=204)

    def _write(
        self, request: web.Request, value: bytes | None, *, status: int
    ) -> web.StreamResponse:
        key = request.match_info["key"]
        try:
            expected = expected_version(request)
        except ValueError:
            return error(428, "precondition_required")
        version = self.table.write(key, value, expected_version=expected)
        if version is None:
            self.counters.conflicts += 1
            return error(412, "conflict")
        if self._drops_answer(key):
            abort_connection(request)
        return web.Response(status=status, headers=etag(version))

    def _drops_answer(self, key: str) -> bool:
        faults = self.faults
        if faults.lose_answers <= 0 or not key.startswith(faults.lose_prefix):
            return False
        faults.lose_answers -= 1
        self.counters.lost_answers += 1
        return True

    async def _list(self, request: web.Request) -> web.StreamResponse:
        found = self.table.list_objects(request.query.get("prefix", ""))
        return objects_answer(self.table.version, found)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get("prefix", "")
        try:
            after = int(request.query.get("after", "0"))
            wait_ms = min(int(request.query.get("wait_ms", "0")), WATCH_MAX_MS)
        except ValueError:
            return error(400, "bad_request")
        self.counters.watch_started()
        try:
            await self._wait_for_changes(prefix, after, wait_ms / 1000)
        finally:
            self.counters.watch_ended()
        if self.faults.outage:
            return await self._answer_in_outage()
        changes = self.table.changes(prefix, after=after)
        return objects_answer(self.table.version, changes)

    async def _wait_for_changes(self, prefix: str, after: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while not self.faults.outage:
                    if self.table.changes(prefix, after=after):
                        return
                    await self.table.wait_for_change()
        except TimeoutError:
            return

    async def _control_outage(self, request: web.Request) -> web.StreamResponse:
        values = await stand_in.json_body(request)
        self.faults.outage = bool(values["on"])
        self.faults.silent = bool(values.get("silent", False))
        self._notify_waiters()
        return web.json_response(asdict(self.faults))

    async def _control_slow(self, request: web.Request) -> web.StreamResponse:
        values = await stand_in.json_body(request)
        self.faults.slow_ms = float(values["ms"])
        return web.json_response(asdict(self.faults))

    async def _control_lose(self, request: web.Request) -> web.StreamResponse:
        values = await stand_in.json_body(request)
        self.faults.lose_answers = int(values["count"])
        self.faults.lose_prefix = str(values.get("prefix", ""))
        return web.json_response(asdict(self.faults))

    async def _control_counters(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(asdict(self.counters))

    async def _release_waiters(self, app: web.Application) -> None:
        self.faults.outage = True
        self.faults.silent = False
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self.table.notify_waiters()
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()


def expected_version(request: web.Request) -> int | None:
    """Return the version that a write expects; None when it creates.

    Raises ValueError when the request states no valid condition.
    """
    if request.headers.get("If-None-Match") == "*":
        return None
    return int(request.headers.get("If-Match", "").strip('"'))


def etag(version: int) -> dict[str, str]:
    """Return the header that carries a version."""
    return {"ETag": f'"{version}"'}


def error(status: int, reason: str) -> web.Response:
    """Return an error with a short reason."""
    return web.json_response({"error": reason}, status=status)


def objects_answer(version: int, entries: list[ObjectVersion]) -> web.Response:
    """Return the response format that lists and watches share."""
    objects = [
        {
            "key": entry.key,
            "version": entry.version,
            "value_base64": encode_value(entry.value),
        }
        for entry in entries
    ]
    return web.json_response({"version": version, "objects": objects})


def encode_value(value: bytes | None) -> str | None:
    """Return a value as base64; a deleted value stays None."""
    return None if value is None else base64.b64encode(value).decode()


def abort_connection(request: web.BaseRequest) -> None:
    """Close the connection so that the answer is lost."""
    if request.transport is not None:
        request.transport.abort()


async def serve() -> None:
    """Serve the store with the rates that the flags set."""
    store = Store(reads_per_s=FLAGS.reads_per_s, writes_per_s=FLAGS.writes_per_s)
    await stand_in.serve("store", store.application(), FLAGS.address)


def main(argv: list[str]) -> None:
    """Run the store."""
    stand_in.run(serve)


if __name__ == "__main__":
    flags.DEFINE_string("address", "127.0.0.1:0", "Address to listen on.")
    flags.DEFINE_float("reads_per_s", 2000.0, "Reads a second; 0 is unlimited.")
    flags.DEFINE_float("writes_per_s", 500.0, "Writes a second; 0 is unlimited.")
    absl_app.run(main)
