"""The limit that a leaf names makes all other machines end when one is stopped."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from collections import Counter
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

# What a leaf in need names, and what it names afterwards: the largest number that a
# program holds in 64 bits, as decimal digits. It takes all that comes.
LIMIT_IN_NEED = "40.0"
LIMIT_AFTERWARDS = f"{sys.float_info.max:.1f}"
DAEMONS = 3
CALLERS_PER_DAEMON = 14
# Within the 960 ms that the site allows a booking-read.
WORK_S = 0.9
PAUSE_S = 0.1
IN_NEED_S = BOUNDS["contact_ms"] / 1000 + 1
AFTERWARDS_S = 3.0
# Time for which callers are watched after the stop of one machine begins.
STOPPED_S = 6.0
LOST_MAX = 3


class LimitedLeaf(Leaf):
    """Name a limit in all answers."""

    limit = LIMIT_IN_NEED

    def answer(self, request: Request, *args: object, **headers: str) -> bytes:
        return super().answer(request, Server_Limit=self.limit, **headers)


async def main(record: Record, trouble: bool) -> bool:
    """Return whether the machines that aren't stopped lose at most three requests."""
    store = Store()
    await store.start()
    leaves = [
        LimitedLeaf(f"i-{n}", "kafi81c", store, record, slots=3, work_s=WORK_S)
        for n in range(16)
    ]
    for leaf in leaves:
        await leaf.start()
    store.put("config", "main", config(7, route("r-1", "/timi402/", "kafi81c")))
    daemons = [Daemon(f"front-sohar-{n}", store, record) for n in range(1, DAEMONS + 1)]
    for daemon in daemons:
        await daemon.start()
    lost: list[str] = []
    outcomes: Counter[tuple[str, object]] = Counter()

    async def caller(daemon: Daemon, number: int) -> None:
        """Send requests one after the other, on kept connections where possible."""
        counts = itertools.count(1)
        while True:
            try:
                reader, writer = await open_connection(daemon.front)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            kept = False
            try:
                while True:
                    name = f"{daemon.name}-{number}-{next(counts)}"
                    record.line("sent", id=name, kept=kept)
                    writer.write(encode_request("GET", "/timi402/2f", name))
                    answer = await read_answer(reader)
                    record.line("answered", id=name, status=answer.status)
                    outcomes[daemon.name, answer.status] += 1
                    if answer.header("Connection").lower() == "close":
                        break
                    kept = True
                    await asyncio.sleep(PAUSE_S)
            except (EOFError, ConnectionError) as error:
                record.line("connection_ended", id=name, kept=kept, error=error)
                if kept:
                    lost.append(name)
            finally:
                writer.close()
            await asyncio.sleep(0.2)

    tasks = []
    try:
        for daemon in daemons:
            await daemon.wait_ready()
        # The machines know each other and are in touch after this.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
        # Spread evenly over the time from one request of a caller to its next.
        pause_s = (WORK_S + PAUSE_S) / CALLERS_PER_DAEMON
        for number in range(CALLERS_PER_DAEMON):
            for daemon in daemons:
                tasks.append(asyncio.create_task(caller(daemon, number)))
            await asyncio.sleep(pause_s)
        await asyncio.sleep(IN_NEED_S)
        for leaf in leaves:
            if trouble:
                leaf.limit = LIMIT_AFTERWARDS
        record.line("limit", value=leaves[0].limit)
        await asyncio.sleep(AFTERWARDS_S)
        stopped = daemons[-1]
        stopped.send_signal(signal.SIGTERM)
        stop_s = time.monotonic()
        ended: set[str] = set()
        while time.monotonic() < stop_s + STOPPED_S:
            for daemon in daemons[:-1]:
                assert daemon.process is not None
                code = daemon.process.returncode
                if code is not None and daemon.name not in ended:
                    ended.add(daemon.name)
                    record.line("ended_by_itself", daemon=daemon.name, status=code)
            await asyncio.sleep(0.05)
        ran = {request.request_id for leaf in leaves for _, request in leaf.runs}
        passed_on = [
            name for name in lost if name in ran and not name.startswith(stopped.name)
        ]
        for daemon in daemons[:-1]:
            for text in (daemon.folder / "log").read_text().splitlines():
                if "Error:" in text and not text.startswith("{"):
                    record.line("log", daemon=daemon.name, text=text)
        for (name, status), count in sorted(outcomes.items(), key=str):
            record.line("outcomes", daemon=name, status=status, count=count)
        record.line("lost", passed_on=len(passed_on), ended=len(ended), of=DAEMONS - 1)
        return len(passed_on) <= LOST_MAX
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in daemons:
            await daemon.stop()
        for leaf in leaves:
            await leaf.stop()
        await store.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
