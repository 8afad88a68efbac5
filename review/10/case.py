"""Answers that wait for callers on slow links fill the memory of the machine."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from stand_ins import BOUNDS
from stand_ins import Daemon
from stand_ins import Leaf
from stand_ins import Record
from stand_ins import Request
from stand_ins import Store
from stand_ins import config
from stand_ins import encode_request
from stand_ins import open_connection
from stand_ins import read_answer
from stand_ins import route
from stand_ins import run_case

# The most that the daemon accepts from a leaf.
ANSWER_BYTES = 2 * 2**20
DEADLINE_MS = 6000
# The site file has 22.5 booking-reads a second: 2 in 10 of 112.4 requests.
REQUESTS_PER_S = 16.0
# A caller on a slow link has the whole answer within its time budget.
READ_S = 5.8
PRESSED_S = 15.0
WITNESSES = 6
WITNESS_WORK_S = 0.9


class DocumentLeaf(Leaf):
    """Answer booking-reads with a document, other requests with a short body."""

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        self.work_s = WITNESS_WORK_S if request.target.startswith("/slow/") else 0.01
        return await super().work(request, writer)

    def answer(self, request: Request, *args: object, **headers: str) -> bytes:
        body = b"ok"
        if request.target.startswith("/timi402/"):
            body = bytes(ANSWER_BYTES)
        return super().answer(request, "200 OK", body, **headers)


class Platform:
    """Kill a daemon whose resident memory exceeds its memory_mb."""

    def __init__(self, daemon: Daemon, record: Record) -> None:
        self._daemon = daemon
        self._record = record
        self.peak_mib = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Look at the memory until cancelled."""
        assert self._daemon.process is not None
        status = Path(f"/proc/{self._daemon.process.pid}/status")
        bound_mib = self._daemon.values["limits"]["memory_mb"]
        noted_s = 0.0
        while True:
            for line in status.read_text(encoding="ascii").splitlines():
                if line.startswith("VmRSS:"):
                    resident_mib = int(line.split()[1]) / 1024
            self.peak_mib = max(self.peak_mib, resident_mib)
            if time.monotonic() - noted_s > 1:
                noted_s = time.monotonic()
                self._record.line("memory", resident_mib=int(resident_mib))
            if resident_mib > bound_mib:
                self._record.line("over_memory_mb", resident_mib=int(resident_mib))
                self.killed = True
                self._daemon.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.05)


class Callers:
    """Send requests on kept connections and count those that end without an answer."""

    def __init__(self, front: str, record: Record, *, slow: bool) -> None:
        self._front = front
        self._record = record
        self._slow = slow
        self.lost: list[str] = []

    async def read_booking(self, name: str) -> None:
        """Read one booking, after a look on the same connection."""
        receive_bytes, segment_bytes = (4096, 1400) if self._slow else (0, 0)
        reader, writer = await open_connection(
            self._front, receive_bytes=receive_bytes, segment_bytes=segment_bytes
        )
        try:
            await self._exchange(reader, writer, "/bapu561/1", f"look-{name}")
            rate = ANSWER_BYTES / READ_S if self._slow else 0.0
            await self._exchange(reader, writer, "/timi402/2f", name, rate)
        finally:
            writer.close()

    async def witness(self, number: int) -> None:
        """Send requests that last a while, one after the other."""
        reader, writer = await open_connection(self._front)
        try:
            count = 0
            while True:
                count += 1
                name = f"witness-{number}-{count}"
                if not await self._exchange(reader, writer, "/slow/1", name):
                    return
        finally:
            writer.close()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        name: str,
        bytes_per_s: float = 0.0,
    ) -> bool:
        self._record.line("sent", id=name)
        writer.write(encode_request("GET", target, name, deadline_ms=DEADLINE_MS))
        try:
            answer = await read_answer(reader, bytes_per_s=bytes_per_s)
        except EOFError as error:
            self._record.line("connection_ended", id=name, error=error)
            self.lost.append(name)
            return False
        self._record.line(
            "answered", id=name, status=answer.status, complete=answer.complete
        )
        if not answer.complete:
            self.lost.append(name)
        return answer.complete


async def main(record: Record, trouble: bool) -> bool:
    """Return whether the machine lost at most three requests."""
    store = Store()
    await store.start()
    leaves = [
        DocumentLeaf(f"i-{number}", "kafi81c", store, record, slots=8)
        for number in (1, 2)
    ]
    for leaf in leaves:
        await leaf.start()
    routes = (
        route("r-1", "/timi402/", "kafi81c"),
        route("r-2", "/bapu561/", "kafi81c"),
        route("r-3", "/slow/", "kafi81c", target_latency_ms=2000),
    )
    store.put("config", "main", config(7, *routes))
    daemon = Daemon("front-sohar-1", store, record)
    await daemon.start()
    tasks: list[asyncio.Task[None]] = []
    try:
        await daemon.wait_ready()
        platform = Platform(daemon, record)
        tasks.append(asyncio.create_task(platform.watch()))
        callers = Callers(daemon.front, record, slow=trouble)
        tasks += [
            asyncio.create_task(callers.witness(number)) for number in range(WITNESSES)
        ]
        # The machine is in touch from here on.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 0.5)
        end_s = time.monotonic() + PRESSED_S
        number = 0
        while time.monotonic() < end_s and not platform.killed:
            number += 1
            booking = callers.read_booking(f"booking-{number}")
            tasks.append(asyncio.create_task(booking))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.sleep(1)
        ran = {request.request_id for leaf in leaves for _, request in leaf.runs}
        lost = [name for name in callers.lost if name in ran]
        record.line(
            "lost",
            passed_on=len(lost),
            killed=platform.killed,
            peak_mib=int(platform.peak_mib),
            memory_mb=daemon.values["limits"]["memory_mb"],
        )
        return len(lost) <= 3
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await daemon.stop()
        for leaf in leaves:
            await leaf.stop()
        await store.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
