"""The store turns the hubs of a zone away; the other machines don't ask it."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))
from harness import BOUNDS, BROKEN, HELD, TROUBLE, Leaf, Requester, route, run_case

DRAIN_S = BOUNDS["drain_ms"] / 1000
REFUSED_S = 9.0
# 12 machines; the store turns three of them (0.25) away.
MACHINES = [("sohar", n) for n in range(1, 11)] + [("barka", 1), ("barka", 2)]
REFUSED = ("f-sohar-01", "f-sohar-02", "f-barka-01")
EPISODES_S = (0,)
# 20 leafs in 10 shards of two; 3 of them (0.15) drain.
SHARDS = [f"stockdesk~{number}" for number in range(1, 11)]
DRAINS_S = (0.3, 1.0, 2.0)


async def load(requester, daemons, end_s):
    """Send 10 requests a second to each daemon."""
    number = 0
    while time.monotonic() < end_s:
        requester.begin(daemons[number % len(daemons)], "/b/1")
        number += 1
        await asyncio.sleep(0.1 / len(daemons))


async def sleep_until(at_s):
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))


async def case(record, fleet):
    for zone, number in MACHINES:
        await fleet.add_daemon(f"f-{zone}-{number:02}", zone)
    for shard in SHARDS:
        for zone in fleet.zones:
            name = f"i-{shard.partition('~')[2]}-{zone}"
            await fleet.add_leaf(Leaf(record, name, shard, zone=zone, work_s=0.005))
    fleet.write_config(
        route("sweep", "/b/", gather=SHARDS, top_k=10, min_shard_share=0.89)
    )
    await fleet.start()
    refused = [daemon for daemon in fleet.daemons if daemon.name in REFUSED]
    calm = [daemon for daemon in fleet.daemons if daemon.name not in REFUSED]
    requester = Requester(record)
    start_s = time.monotonic()
    job = asyncio.create_task(load(requester, calm, start_s + EPISODES_S[-1] + 15))
    acked = {}
    for episode_s in EPISODES_S:
        await sleep_until(start_s + episode_s)
        if TROUBLE:
            record.line(f"the store turns {', '.join(REFUSED)} away")
            for daemon in refused:
                daemon.door.refuse()
        for at_s in DRAINS_S:
            await sleep_until(start_s + episode_s + at_s)
            # The other leaf of the shard stays ready.
            leaf = fleet.leafs[2 * len(acked)]
            spec = leaf.spec(state="draining")
            fleet.store.put("servers", leaf.name, spec)
            acked[leaf] = time.monotonic()
        await sleep_until(start_s + episode_s + REFUSED_S)
        for daemon in refused:
            daemon.door.refusing = False
        record.line("the store serves all machines")
    await job
    await asyncio.gather(*requester.tasks)
    late = []
    for leaf, acked_s in acked.items():
        ages = [(at - acked_s, request_id) for at, request_id in leaf.arrivals]
        late += [(age, leaf.name, rid) for age, rid in ages if age > DRAIN_S]
        record.line(f"last request at {leaf.name} {max(ages)[0]:.2f} s after the ack")
    for age, name, request_id in sorted(late):
        sender = next(d.name for d in calm if request_id in requester.sent_to(d))
        record.line(
            f"DRAIN is broken: {request_id} reached {name} {age:.2f} s after the ack "
            f"that it drains, from {sender}"
        )
    record.line(
        f"{requester.count} requests at calm machines, {len(late)} arrivals later than "
        f"{DRAIN_S:g} s after the ack that the leaf drains",
        show=True,
    )
    return BROKEN if late else HELD


run_case(__file__, case)
