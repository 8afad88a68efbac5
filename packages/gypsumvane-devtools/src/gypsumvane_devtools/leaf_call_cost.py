"""Measure the CPU time of the client path for one leaf call.

Run ``python -m gypsumvane_devtools.leaf_call_cost``. A small aiohttp server
runs in another process; only the CPU time of the calling process counts.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import time
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop
from absl import app
from absl import flags
from absl import logging
from aiohttp import ClientSession
from aiohttp import TCPConnector
from aiohttp import web

from gypsumvane_core.clock import SystemClock
from gypsumvane_core.document_models import LeafModel
from gypsumvane_core.document_models import Policy
from gypsumvane_core.priority import Priority
from gypsumvane_daemon.leaf_task import LeafTask
from gypsumvane_daemon.leaf_worker import LeafWorker
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from multiprocessing.connection import Connection

    from gypsumvane_daemon.leaf_task import LeafResult

FLAGS = flags.FLAGS
flags.DEFINE_integer("calls", 20_000, "Calls of each measurement.")
flags.DEFINE_integer("at_once", 20, "Calls in progress at once.")
flags.DEFINE_integer("leaves", 10, "Leaves that share the calls.")
flags.DEFINE_integer("rounds", 3, "Rounds; the lowest time of each variant counts.")

QUERY = b'{"query": "active speaker 15 inch", "limit": 10}'
HITS = [{"id": f"item-{n}", "score": 0.5, "title": "active speaker"} for n in range(10)]
BODY = json.dumps({"hits": HITS, "total": 10}).encode()
SNAPSHOT = 7


async def _answer(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(
        body=BODY,
        headers={
            "Content-Type": "application/json",
            "Boot-Id": "boot-1",
            "Upstream-Version": "v1",
            "Snapshot": str(SNAPSHOT),
            "Request-Id": request.headers.get("Request-Id", ""),
        },
    )


async def _serve(ready: Connection) -> None:
    server = web.Server(_answer, access_log=None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    ready.send(listener.sockets[0].getsockname()[1])
    await listener.serve_forever()


def _run_server(ready: Connection) -> None:
    uvloop.run(_serve(ready))


class ClientVariant(ABC):
    """Send leaf calls with one kind of client."""

    name: str

    def __init__(self, address: str, leaves: int) -> None:
        self.address = address
        self.leaves = leaves

    @abstractmethod
    async def open(self) -> None:
        """Create the clients."""

    @abstractmethod
    async def call(self, number: int) -> None:
        """Send one call and check its answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


def _check(succeeded: bool) -> None:
    if not succeeded:
        raise RuntimeError("leaf call did not get the expected answer")


class SharedSessionVariant(ClientVariant):
    """Use one plain session for all leaves."""

    name = "shared ClientSession, defaults"

    async def open(self) -> None:
        """Open one session."""
        self._session = ClientSession(connector=TCPConnector(limit=0))

    async def call(self, number: int) -> None:
        """Send one call and check its answer."""
        await _post(self._session, self.address, number)

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()


class SessionPerLeafVariant(ClientVariant):
    """Use one plain session for each leaf."""

    name = "ClientSession per leaf, defaults"

    async def open(self) -> None:
        """Open the sessions."""
        self._sessions = [
            ClientSession(connector=TCPConnector(limit=25)) for _ in range(self.leaves)
        ]

    async def call(self, number: int) -> None:
        """Send one call and check its answer."""
        session = self._sessions[number % self.leaves]
        await _post(session, self.address, number)

    async def close(self) -> None:
        """Close the sessions."""
        for session in self._sessions:
            await session.close()


async def _post(session: ClientSession, address: str, number: int) -> None:
    headers = {
        "Request-Id": f"incarnation-{number}",
        "Deadline-Ms": "1000",
        "Snapshot": str(SNAPSHOT),
        "Content-Type": "application/json",
    }
    url = f"http://{address}/v1/search"
    async with session.post(url, data=QUERY, headers=headers) as response:
        body = await response.read()
        same = response.headers.get("Request-Id") == headers["Request-Id"]
        _check(same and body == BODY)


class UpstreamClientVariant(ClientVariant):
    """Use the client with which a home calls leaves."""

    name = "UpstreamClient"

    async def open(self) -> None:
        """Open a client for each leaf."""
        self._clients = [
            UpstreamClient(self.address, connections=25) for _ in range(self.leaves)
        ]

    async def call(self, number: int) -> None:
        """Send one call and check its answer."""
        call = LeafCall(
            request_id=f"incarnation-{number}",
            path="/v1/search",
            body=QUERY,
            deadline_left_ms=1000,
            snapshot=SNAPSHOT,
        )
        answer = await self._clients[number % self.leaves].send(call)
        _check(answer.request_id == call.request_id and answer.body == BODY)

    async def close(self) -> None:
        """Close the clients."""
        for client in self._clients:
            await client.close()


class _SingleDaemonAuthority:
    """Make this process the home of every leaf."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return this process for every leaf."""
        return "self"

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the whole limit."""
        return limit

    def on_change(self, listener: Callable[[], None]) -> None:
        """Ignore the listener; the homes never change."""

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        """Ignore the check; no leaf is released."""

    def add_contributor(self, contributor: object) -> None:
        """Ignore the contributor; there are no heartbeats."""


class LeafWorkerVariant(ClientVariant):
    """Use the whole path of a home: queue, limits, client and checks."""

    name = "LeafWorker"

    async def open(self) -> None:
        """Start a worker for each leaf with limits above the load."""
        policy = Policy(cold_concurrency=25, cold_spacing_ms=0, leaf_queue_max=1000)
        self._number = 0
        self._clock = SystemClock()
        self._workers = []
        for leaf in range(self.leaves):
            model = LeafModel(
                leaf_id=f"leaf-{leaf}",
                service="shelf",
                failure_domain="a",
                address=self.address,
                slots=25,
                connections_max=50,
            )
            worker = LeafWorker(
                model,
                policy,
                clock=self._clock,
                authority=_SingleDaemonAuthority(),
                next_request_id=self._next_request_id,
                count=lambda *_, **__: None,
                publish=lambda brief: None,
            )
            worker.assign()
            self._workers.append(worker)

    def _next_request_id(self) -> str:
        self._number += 1
        return f"incarnation-{self._number}"

    async def call(self, number: int) -> None:
        """Send one call and check its answer."""
        future: asyncio.Future[LeafResult] = asyncio.get_running_loop().create_future()
        task = LeafTask(
            path="/v1/search",
            body=QUERY,
            priority=Priority.SEARCH,
            deadline_s=self._clock.monotonic_s() + 5.0,
            on_done=future.set_result,
            snapshot=SNAPSHOT,
            snapshot_required=True,
        )
        self._workers[number % self.leaves].submit(task)
        _check(getattr((await future).outcome, "body", b"") == BODY)

    async def close(self) -> None:
        """Close the workers."""
        for worker in self._workers:
            await worker.close()


VARIANTS: tuple[type[ClientVariant], ...] = (
    SharedSessionVariant,
    SessionPerLeafVariant,
    UpstreamClientVariant,
    LeafWorkerVariant,
)


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold the result of one measurement."""

    cpu_us: float
    calls_per_s: float


async def _measure(variant: ClientVariant, calls: int, at_once: int) -> Cost:
    await variant.open()
    numbers = iter(range(at_once * 10))
    await _send_all(variant, numbers, at_once)
    numbers = iter(range(calls))
    start_s = time.perf_counter()
    cpu_s = time.process_time()
    await _send_all(variant, numbers, at_once)
    cpu_s = time.process_time() - cpu_s
    elapsed_s = time.perf_counter() - start_s
    await variant.close()
    return Cost(cpu_us=cpu_s / calls * 1e6, calls_per_s=calls / elapsed_s)


async def _send_all(variant: ClientVariant, numbers: object, at_once: int) -> None:
    async def send() -> None:
        for number in numbers:  # type: ignore[attr-defined]
            await variant.call(number)

    await asyncio.gather(*(send() for _ in range(at_once)))


def main(argv: list[str]) -> None:
    """Print one line for each client variant and event loop."""
    logging.set_verbosity(logging.WARNING)
    parent, child = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    server = context.Process(target=_run_server, args=(child,), daemon=True)
    server.start()
    address = f"127.0.0.1:{parent.recv()}"
    best: dict[tuple[str, str], Cost] = {}
    try:
        for _ in range(FLAGS.rounds):
            for loop_name, run in (("asyncio", asyncio.run), ("uvloop", uvloop.run)):
                for variant in VARIANTS:
                    cost = run(
                        _measure(
                            variant(address, FLAGS.leaves), FLAGS.calls, FLAGS.at_once
                        )
                    )
                    key = (variant.name, loop_name)
                    lowest = best.get(key)
                    if lowest is None or cost.cpu_us < lowest.cpu_us:
                        best[key] = cost
    finally:
        server.terminate()
        server.join()
    for (name, loop_name), cost in best.items():
        print(
            f"{name:34} {loop_name:8} {cost.cpu_us:7.1f} us/call "
            f"{cost.calls_per_s:8.0f} calls/s"
        )


if __name__ == "__main__":
    app.run(main)
