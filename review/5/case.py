"""The machine that reads the store for its zone loses it while a service is emptied."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))
from harness import BOUNDS, BROKEN, HELD, TROUBLE, Leaf, Requester, route, run_case

DRAIN_S = BOUNDS["drain_ms"] / 1000
CUT_S = 5.5


def drain(fleet, leaf, acked):
    fleet.store.put("servers", leaf.name, leaf.spec(state="draining"))
    acked[leaf.name] = time.monotonic()


async def case(record, fleet):
    first = await fleet.add_daemon("f-sohar-1", "sohar")
    second = await fleet.add_daemon("f-sohar-2", "sohar")
    await fleet.add_daemon("f-barka-1", "barka")
    emptied = [await fleet.add_leaf(Leaf(record, f"i-{n}", "donorlog")) for n in (1, 2)]
    for number in range(12):
        await fleet.add_leaf(Leaf(record, f"j-{number}", "bookbook"))
    fleet.write_config(
        route("log", "/d/", upstream="donorlog"),
        route("book", "/b/", upstream="bookbook"),
    )
    await fleet.start()
    requester = Requester(record)
    for _ in range(50):
        await requester.ask(second, "/d/1")
    # Both leafs of a service are emptied, one 0.2 s after the other.
    acked = {}
    drain(fleet, emptied[0], acked)
    await asyncio.sleep(0.1)
    if TROUBLE:
        record.line(f"{first.name} is cut off from the store, silently")
        first.door.silent = True
    cut_s = time.monotonic()
    await asyncio.sleep(0.1)
    drain(fleet, emptied[1], acked)
    while time.monotonic() - cut_s < 8:
        requester.begin(second, "/d/1")
        await asyncio.sleep(0.04)
        if first.door.silent and time.monotonic() - cut_s > CUT_S:
            first.door.silent = False
            first.door.stop()
            await first.door.start()
            record.line(f"{first.name} reaches the store again")
    await asyncio.gather(*requester.tasks)
    late = [
        (at - acked[leaf.name], leaf.name, request_id)
        for leaf in emptied
        for at, request_id in leaf.arrivals
        if at - acked[leaf.name] > DRAIN_S
    ]
    for age, name, request_id in sorted(late):
        record.line(f"DRAIN is broken: {request_id} reached {name} {age:.2f} s after "
                    "the ack that it drains")  # fmt: skip
    latest = max(at - acked[leaf.name] for leaf in emptied for at, _ in leaf.arrivals)
    record.line(
        f"last request at a draining leaf {latest:.2f} s after the ack, {len(late)} "
        f"later than {DRAIN_S:g} s",
        show=True,
    )
    return BROKEN if late else HELD


run_case(__file__, case)
