"""The leader of a roll-out is frozen while the new version turns bad."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))
from harness import BOUNDS, BROKEN, HELD, TROUBLE, Leaf, Requester, message, route
from harness import run_case

ZONES = ["jadran-a"] * 3 + ["jadran-b"] * 3 + ["jadran-c"] * 2
DURATION_S = 16
MAIN_PER_S = 50
SIDE_PER_S = 4
# The leader may record the end of the move at 0.85 of the duration.
FREEZE_AT_S = 0.85 * DURATION_S - 2.0
FREEZE_S = 2.2
BAD_FROM_S = FREEZE_AT_S + 0.1


class VersionLeaf(Leaf):
    """A leaf of a version; a bad version fails on one route only, from some moment."""

    bad_from_s = float("inf")
    side_runs = 0

    async def answer(self, request_id, echo, line, body):
        if time.monotonic() < self.bad_from_s or "/side/" not in line:
            return await super().answer(request_id, echo, line, body)
        self.record.line(f"leaf {self.name} fails {request_id} on its one bad route")
        stamp = {"Gypsumvane-Response-Stamp": f"{self.name}.{request_id}"}
        return message(500, {**echo, **stamp})


async def follow_order(record, fleet, old, new):
    """Stop the old leafs on `completed`, drain the new ones after `rolled_back`."""
    while True:
        status = fleet.store.objects["rollouts"]["landlords"]["status"] or {}
        state = status.get("state")
        if state == "completed":
            for leaf in old:
                leaf.stop()
                fleet.store.remove("servers", leaf.name)
            return
        if state == "rolled_back":
            await asyncio.sleep(3)
            for leaf in new:
                fleet.store.put(
                    "servers", leaf.name, leaf.spec(version="v2", state="draining")
                )
            return
        await asyncio.sleep(0.02)


async def load(requester, daemons, path, per_s, end_s):
    number = 0
    while time.monotonic() < end_s:
        requester.begin(daemons[number % len(daemons)], path)
        number += 1
        await asyncio.sleep(1 / per_s)


async def case(record, fleet):
    fleet.zones = sorted(set(ZONES))
    for number, zone in enumerate(ZONES):
        await fleet.add_daemon(f"f-{zone}-{number}", zone)
    leader, others = fleet.daemons[0], fleet.daemons[1:]
    old = [
        await fleet.add_leaf(VersionLeaf(record, f"i-{n}", "landlords", zone=ZONES[n]))
        for n in range(0, 8, 2)
    ]
    fleet.write_config(
        route("main", "/main/", upstream="landlords"),
        route("side", "/side/", upstream="landlords", attempts=1),
    )
    await fleet.start()
    requester = Requester(record)
    order_s = time.monotonic()
    fleet.store.put("rollouts", "landlords", {
        "upstream": "landlords", "target_version": "v2", "duration_s": DURATION_S,
    })  # fmt: skip
    new = [
        VersionLeaf(record, f"j-{n}", "landlords", zone=ZONES[n]) for n in (0, 2, 4, 6)
    ]
    for leaf in new:
        leaf.bad_from_s = order_s + BAD_FROM_S
        await fleet.add_leaf(leaf, version="v2")
    end_s = order_s + DURATION_S
    jobs = [
        asyncio.create_task(follow_order(record, fleet, old, new)),
        asyncio.create_task(
            load(requester, fleet.daemons, "/main/1", MAIN_PER_S, end_s)
        ),
        asyncio.create_task(load(requester, others, "/side/1", SIDE_PER_S, end_s)),
    ]
    await asyncio.sleep(order_s + FREEZE_AT_S - time.monotonic())
    if TROUBLE:
        leader.send(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        leader.send(signal.SIGCONT)
    await asyncio.gather(*jobs[1:])
    await asyncio.sleep(1)
    jobs[0].cancel()
    status = fleet.store.objects["rollouts"]["landlords"]["status"]
    # All arrivals count as requests of the service; of those at the bad version, only
    # the ones that other machines than the frozen one have sent.
    arrivals = {
        leaf: [rid for at, rid in leaf.arrivals if order_s <= at <= end_s]
        for leaf in fleet.leafs
    }
    total = sum(map(len, arrivals.values()))
    frozen = requester.sent_to(leader)
    exposed = sum(rid not in frozen for leaf in new for rid in arrivals[leaf])
    bound = BOUNDS["canary_share"] * total + BOUNDS["canary_slack"]
    if exposed > bound:
        record.line(f"EXPOSURE is broken: {exposed} requests, bound {bound:.0f}")
    record.line(
        f"recorded {status}; {total} requests reached the service, the bad version got "
        f"{exposed} from calm machines, bound {bound:.0f}",
        show=True,
    )
    return BROKEN if exposed > bound else HELD


run_case(__file__, case)
