"""A ping of a leaf that arrives late makes a draining leaf get requests again."""

from __future__ import annotations

import asyncio
import itertools
import json
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
from stand_ins import call
from stand_ins import config
from stand_ins import route
from stand_ins import run_case

# Time for which the ping is held up between the leaf and the store.
LATE_S = 4.2
# Time after which the leaf takes a call without a response for lost.
CALL_TIMEOUT_S = 0.1
# Time from the ack of the drain until the leaf exits: drain_ms and a little longer.
SERVES_S = 4.9
# Bookings are sent in groups.
GROUP = 6
GROUP_INTERVAL_S = 1.3
# Within the 960 ms that the site allows a booking.
WORK_S = 0.6
DRAIN_S = BOUNDS["drain_ms"] / 1000


class LeavingLeaf(Leaf):
    """Say in all answers that it leaves, once it drains."""

    def answer(self, request: Request, *args: object, **headers: str) -> bytes:
        if self.state == "draining":
            headers["Server_Leaving"] = "1"
        return super().answer(request, **headers)

    busy = 0

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        self.busy += 1
        try:
            return await super().work(request, writer)
        finally:
            self.busy -= 1

    async def drain(self, *, late_ping: bool) -> float:
        """Report that it drains, serve, and exit. Return the time of the ack.

        It begins when it has ended its last request. Its pings go on each heartbeat_ms.
        With late_ping, the link holds up its last ping before: the leaf takes the call
        for lost and reports that it drains on a new connection.
        """
        while not self.busy:
            await asyncio.sleep(0.01)
        while self.busy:
            await asyncio.sleep(0.01)
        self._beat_task.cancel()
        self._sequence += 1
        ping = asyncio.create_task(self._ping(LATE_S if late_ping else 0.0))
        await asyncio.wait([ping], timeout=CALL_TIMEOUT_S)
        self.state = "draining"
        self.register()
        self._beat_task = asyncio.create_task(self._beat())
        ack_s = time.monotonic()
        self.record.line(
            "drain_acknowledged", leaf=self.leaf_id, sequence=self._sequence
        )
        await asyncio.sleep(SERVES_S)
        self.record.line("leaf_exits", leaf=self.leaf_id)
        await self.stop()
        self.store.remove("servers", self.leaf_id)
        await ping
        return ack_s

    async def _ping(self, held_up_s: float) -> None:
        """Write the entry to the store over a link that may hold up the call."""
        entry = self.entry()
        content = json.dumps({"meta": {"name": self.leaf_id}, "spec": entry}).encode()
        host, port = self.store.address.split(":")
        self.record.line(
            "ping", leaf=self.leaf_id, state=self.state, sequence=self._sequence
        )
        await asyncio.sleep(held_up_s)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"PUT /api/objects/servers/{self.leaf_id} HTTP/1.1\r\nHost: store\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode() + content
        )
        line = await reader.readline()
        self.record.line(
            "ping_executed",
            leaf=self.leaf_id,
            state=entry["state"],
            sequence=entry["sequence"],
            status=line.decode().split()[1],
        )
        writer.close()


async def main(record: Record, trouble: bool) -> bool:
    """Return whether no request reaches the leaf later than drain_ms after the ack."""
    store = Store()
    await store.start()
    leaving = LeavingLeaf("i-1", "kafi81c", store, record, slots=3, work_s=WORK_S)
    staying = Leaf("i-2", "kafi81c", store, record, slots=3, work_s=WORK_S)
    for leaf in (leaving, staying):
        await leaf.start()
    bookings = route(
        "r-1", "/timi402/", "kafi81c", route_type="non_idempotent", attempts=1
    )
    store.put("config", "main", config(7, bookings))
    daemon = Daemon("front-sohar-1", store, record)
    await daemon.start()
    sent_s: dict[str, float] = {}
    statuses: dict[str, object] = {}
    tasks: set[asyncio.Task[None]] = set()

    async def book(name: str) -> None:
        sent_s[name] = time.monotonic()
        record.line("sent", id=name)
        try:
            answer = await call(daemon.front, "POST", "/timi402/2f", name, body=b"{}")
            statuses[name] = answer.status
        except (OSError, EOFError) as error:
            statuses[name] = repr(error)
        record.line("answered", id=name, status=statuses[name])

    async def send_all() -> None:
        for number in itertools.count(1):
            for part in range(GROUP):
                tasks.add(asyncio.create_task(book(f"book-{number}-{part}")))
            await asyncio.sleep(GROUP_INTERVAL_S)

    try:
        await daemon.wait_ready()
        sending = asyncio.create_task(send_all())
        # The machine and the store have been calm for contact_ms.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)
        ack_s = await leaving.drain(late_ping=trouble)
        await asyncio.sleep(1)
        sending.cancel()
        await asyncio.gather(*tasks)
        late = [
            request.request_id
            for _, request in leaving.runs
            if sent_s[request.request_id] > ack_s + DRAIN_S
        ]
        lost = [name for name in late if statuses[name] != 200]
        record.line("ran_after_drain", count=len(late), ids=",".join(late))
        record.line("lost", count=len(lost), ids=",".join(lost))
        return not late
    finally:
        await daemon.stop()
        await staying.stop()
        await store.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
