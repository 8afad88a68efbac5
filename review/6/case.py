"""Entries of another writer keep all machines from serving after a final fault."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from stand_ins import BOUNDS
from stand_ins import CaseError
from stand_ins import Daemon
from stand_ins import Leaf
from stand_ins import Record
from stand_ins import Store
from stand_ins import call
from stand_ins import config
from stand_ins import route
from stand_ins import run_case

# Entries of the other writer, each below value_bytes (1,048,576), and the time between
# them.
ENTRIES = 24
ENTRY_BYTES = 1_000_000
ENTRY_INTERVAL_S = 0.3
DAEMONS = 2
REQUESTS_PER_S = 10.0
# Time for which requests are watched after the recovery is due.
OBSERVED_S = 12.0
# Time until the platform starts a process again, also after the final fault.
RESTART_S = 1.3
RECOVERY_S = float(BOUNDS["recovery_s"])
SERVED_SHARE_MIN = 0.25


def entry_of_another_writer() -> dict[str, object]:
    """Return an entry with a field of another type and all others missing."""
    part = {"t": 1}
    return {"slots": [part] * (ENTRY_BYTES // (len(json.dumps(part)) + 2))}


class Machine:
    """Run a daemon as the platform does: restart it, and kill it over memory_mb."""

    def __init__(self, daemon: Daemon, record: Record) -> None:
        self.daemon = daemon
        self._record = record
        self.peak_mib = 0.0
        # Ends without a signal of the case; memory over the limit counts.
        self.own_ends = 0
        self._killed = False

    async def run(self) -> None:
        """Keep the daemon running until cancelled."""
        while True:
            await self.daemon.start()
            # True only when the whole system starts for the first time.
            self.daemon.values["bootstrap"] = False
            process = self.daemon.process
            assert process is not None
            watch = asyncio.create_task(self._watch_memory(process.pid))
            await process.wait()
            watch.cancel()
            if not self._killed:
                self.own_ends += 1
                self._record.line(
                    "ended_by_itself", daemon=self.daemon.name, count=self.own_ends
                )
            self._killed = False
            await asyncio.sleep(RESTART_S)

    async def _watch_memory(self, pid: int) -> None:
        bound_mib = self.daemon.values["limits"]["memory_mb"]
        status = Path(f"/proc/{pid}/status")
        while True:
            with contextlib.suppress(OSError):
                for line in status.read_text(encoding="ascii").splitlines():
                    if line.startswith("VmRSS:"):
                        resident_mib = int(line.split()[1]) / 1024
                        self.peak_mib = max(self.peak_mib, resident_mib)
                        if resident_mib > bound_mib:
                            self._record.line(
                                "over_memory_mb",
                                daemon=self.daemon.name,
                                resident_mib=int(resident_mib),
                            )
                            self.daemon.send_signal(signal.SIGKILL)
                            return
            await asyncio.sleep(0.02)

    def kill(self) -> None:
        """Kill the process; the platform starts it again."""
        self._killed = True
        self.daemon.send_signal(signal.SIGKILL)


def served_share(statuses: list[object]) -> float:
    """Return the share of requests that were served."""
    return statuses.count(200) / max(1, len(statuses))


async def main(record: Record, trouble: bool) -> bool:
    """Return whether a quarter is served once the recovery is due."""
    store = Store()
    await store.start()
    leaves = [Leaf(f"i-{n}", "kafi81c", store, record, slots=3) for n in range(2)]
    for leaf in leaves:
        await leaf.start()
    bookings = route("r-1", "/timi402/", "kafi81c")
    store.put("config", "main", config(7, bookings))
    machines = [
        Machine(Daemon(f"front-sohar-{n}", store, record), record)
        for n in range(1, DAEMONS + 1)
    ]
    running = [asyncio.create_task(machine.run()) for machine in machines]
    statuses: list[tuple[float, object]] = []
    tasks: set[asyncio.Task[None]] = set()

    async def read_booking(daemon: Daemon, name: str) -> None:
        record.line("sent", id=name, daemon=daemon.name)
        sent_s = time.monotonic()
        status: object
        try:
            answer = await call(daemon.front, "GET", "/timi402/2f", name)
            status = answer.status
        except (OSError, EOFError) as error:
            status = type(error).__name__
        record.line("answered", id=name, status=status)
        statuses.append((sent_s, status))

    async def send_all() -> None:
        for number in itertools.count(1):
            daemon = machines[number % DAEMONS].daemon
            reading = read_booking(daemon, f"read-{number}")
            tasks.add(asyncio.create_task(reading))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    try:
        await asyncio.sleep(0.1)
        for machine in machines:
            await machine.daemon.wait_ready()
        sending = asyncio.create_task(send_all())
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
        spec = entry_of_another_writer()
        for number in range(ENTRIES):
            if trouble:
                store.put("servers", f"inventory-{number:02}", spec)
            await asyncio.sleep(ENTRY_INTERVAL_S)
        record.line("entries", count=ENTRIES if trouble else 0, bytes=ENTRY_BYTES)
        before = served_share([status for _, status in statuses])
        # The final fault, right after a desired state is acknowledged.
        store.put("config", "main", config(8, bookings))
        record.line("desired_state_acknowledged", version=8)
        for machine in machines:
            machine.kill()
        due_s = time.monotonic() + RESTART_S + RECOVERY_S
        await asyncio.sleep(RESTART_S + RECOVERY_S + OBSERVED_S)
        sending.cancel()
        await asyncio.gather(*tasks)
        after = [status for sent_s, status in statuses if sent_s > due_s]
        for machine in machines:
            record.line(
                "machine",
                daemon=machine.daemon.name,
                own_ends=machine.own_ends,
                peak_mib=int(machine.peak_mib),
                memory_mb=machine.daemon.values["limits"]["memory_mb"],
            )
        record.line("served_before", share=round(before, 3))
        record.line("served_after", count=after.count(200), of=len(after))
        if before < SERVED_SHARE_MIN:
            raise CaseError("less than a quarter was served before the final fault")
        return served_share(after) >= SERVED_SHARE_MIN
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        for machine in machines:
            await machine.daemon.stop()
        for leaf in leaves:
            await leaf.stop()
        await store.stop()


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
