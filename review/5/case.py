"""All machines are killed and start again while a leaf is cold."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))
from harness import BOUNDS, BROKEN, HELD, TROUBLE, Leaf, Requester, route, run_case

ZONES = ("sohar", "sohar", "barka", "barka", "saham", "saham", "suwaiq")
WARMUP_PER_S = 10
COLD_S = 10
BOUND = WARMUP_PER_S * BOUNDS["warmup_overshoot"] + BOUNDS["warmup_slack"]
PAUSE_S = 0.025
# "crashes at a rate well above that": half more than the rule allows.
CRASH = 1.5 * BOUND


class ColdLeaf(Leaf):
    """A leaf that crashes while it is cold if it gets far too much."""

    def __init__(self, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self.cold_from_s = float("inf")
        self.lost = set()
        self.running = set()

    async def answer(self, request_id, echo, line, body):
        at = self.arrivals[-1][0]
        recent = max(at - 1, self.cold_from_s)
        self.running.add(request_id)
        if sum(other > recent for other, _ in self.arrivals) > CRASH:
            self.lost |= self.running
            self.record.line(f"leaf {self.name} crashes, loses {sorted(self.running)}")
            self.stop()
        try:
            return await super().answer(request_id, echo, line, body)
        finally:
            self.running.discard(request_id)


async def ask_again(requester, daemon, end_s):
    """Send 40 requests a second to a daemon while it runs."""
    while time.monotonic() < end_s:
        if daemon.process.returncode is None:
            requester.begin(daemon, "/b/1", method="POST")
        await asyncio.sleep(PAUSE_S)


async def case(record, fleet):
    fleet.zones = sorted(set(ZONES))
    for number, zone in enumerate(ZONES):
        await fleet.add_daemon(f"f-{zone}-{number}", zone)
    for number in range(2):
        leaf = ColdLeaf(
            record, f"i-{number}", "bookbook", zone=ZONES[2 * number], work_s=0.05
        )
        await fleet.add_leaf(leaf, slots=3)
    fleet.write_config(
        route("book", "/b/", upstream="bookbook", route_type="non_idempotent"),
        warmup_per_s=WARMUP_PER_S,
    )
    await fleet.start()
    requester = Requester(record)
    end_s = time.monotonic() + 9
    load = [
        asyncio.create_task(ask_again(requester, daemon, end_s))
        for daemon in fleet.daemons
    ]
    await asyncio.sleep(2)
    cold = fleet.leafs[0]
    # The machines get a second to learn of it.
    cold.cold_from_s = time.monotonic() + 1
    fleet.store.put(
        "servers", cold.name, cold.spec(slots=3, warmup_left_ms=COLD_S * 1000)
    )
    await asyncio.sleep(1.5)
    if TROUBLE:
        for daemon in fleet.daemons:
            daemon.send(signal.SIGKILL)
            await daemon.process.wait()
        await asyncio.sleep(0.5)
        for daemon in fleet.daemons:
            await daemon.start()
    await asyncio.gather(*load)
    await asyncio.gather(*requester.tasks)
    times = [at for at, _ in cold.arrivals if at > cold.cold_from_s]
    most = max(
        (sum(at <= other < at + 0.9 for other in times) for at in times), default=0
    )
    if most > BOUND:
        record.line(f"FAILBACK is broken: {most} requests in 0.9 s, bound {BOUND:g}")
    record.line(
        f"{requester.count} requests, the cold leaf got at most {most} in 0.9 s, "
        f"bound {BOUND:g} in a second; it crashed and lost {len(cold.lost)} requests",
        show=True,
    )
    return BROKEN if most > BOUND else HELD


run_case(__file__, case)
