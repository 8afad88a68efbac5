"""Print the measurements of docs/decisions/bookings.md.

They run in virtual time against a fake store. Run by hand in this folder, with
the PYTHONPATH of ``scripts/env``: ``python booking_figures.py``.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from booking_fleet import Fleet
from booking_fleet import virtual_loop
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.reserved_checkpoints import CheckpointTimings

if TYPE_CHECKING:
    from gypsumvane_core.outcome import Outcome

VMS = ("vm-1", "vm-2", "vm-3")
STORE_DELAY_S = 0.0025
LOAD_S = 5


async def book_timed(fleet: Fleet, key: str, latencies_s: list[float]) -> Outcome:
    """Book through a daemon and append the latency."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    outcome = await fleet.book(VMS[hash(key) % 3], key, left_ms=2000)
    latencies_s.append(loop.time() - start_s)
    return outcome


async def measure_load(rate: int, *, reserved: bool) -> str:
    """Send bookings at a rate and return the write rate and latencies as text."""
    fleet = Fleet()
    fleet.environment.delays = itertools.repeat(STORE_DELAY_S)
    await fleet.start(*VMS)
    for number in range(8):
        fleet.environment.homes[f"claims/{number}"] = VMS[number % 3]
    await asyncio.sleep(6)
    puts = fleet.environment.puts
    latencies_s: list[float] = []
    tasks = []
    for number in range(rate * LOAD_S):
        key = f"key-{number}"
        if reserved:
            key = fleet.daemons[VMS[number % 3]].bookings.reserve(1)[0]
        tasks.append(asyncio.create_task(book_timed(fleet, key, latencies_s)))
        await asyncio.sleep(1 / rate)
    outcomes = await asyncio.gather(*tasks)
    writes = (fleet.environment.puts - puts) / LOAD_S
    await fleet.stop()
    ran = sum(outcome.verdict is Verdict.RAN for outcome in outcomes)
    latencies_s.sort()
    p50_s, p99_s = (
        latencies_s[len(latencies_s) // 2],
        latencies_s[int(len(latencies_s) * 0.99)],
    )
    return (
        f"{'reserved' if reserved else 'own'} keys, {rate}/s: {writes:.1f} writes/s, "
        f"{ran}/{len(outcomes)} ran, p50 {p50_s * 1000:.0f} ms, "
        f"p99 {p99_s * 1000:.0f} ms"
    )


async def recovered_share(interval_s: float, *, delay_s: float) -> float:
    """Return the share of repeated keys whose outcome survives their issuer."""
    fleet = Fleet()
    fleet.environment.delays = itertools.repeat(STORE_DELAY_S)
    fleet.checkpoint_timings = CheckpointTimings(interval_s=interval_s)
    await fleet.start(*VMS)
    rng = random.Random(1)
    keys = fleet.daemons["vm-3"].bookings.reserve(400)
    for key in keys:
        await fleet.book("vm-3", key)
        await asyncio.sleep(rng.expovariate(1 / 0.005))
    await asyncio.sleep(delay_s)
    await fleet.kill("vm-3")
    del fleet.environment.members["vm-3"]
    outcomes = [await fleet.book("vm-1", key) for key in keys]
    await fleet.stop()
    return sum(outcome.verdict is Verdict.RAN for outcome in outcomes) / len(keys)


async def sequential_p50_ms(*, synchronous: bool) -> float:
    """Return the median latency in ms of sequential bookings with reserved keys.

    A synchronous checkpoint write is part of the latency of its booking.
    """
    fleet = Fleet()
    fleet.environment.delays = itertools.repeat(STORE_DELAY_S)
    await fleet.start(*VMS)
    loop = asyncio.get_running_loop()
    bookings = fleet.daemons["vm-1"].bookings
    latencies_s = []
    for key in bookings.reserve(100):
        start_s = loop.time()
        await fleet.book("vm-1", key)
        if synchronous:
            await bookings._checkpoints._flush()
        latencies_s.append(loop.time() - start_s)
    await fleet.stop()
    return sorted(latencies_s)[50] * 1000


def main() -> None:
    """Run all measurements."""
    loop = virtual_loop()
    for rate in (10, 100, 1000):
        for reserved in (False, True):
            print(
                loop.run_until_complete(measure_load(rate, reserved=reserved)),
                flush=True,
            )
    for synchronous in (False, True):
        p50_ms = loop.run_until_complete(sequential_p50_ms(synchronous=synchronous))
        print(f"reserved keys, synchronous write {synchronous}: p50 {p50_ms:.1f} ms")
    for interval_s in (0.0, 0.2):
        for delay_s in (0.0, 1.0):
            share = loop.run_until_complete(
                recovered_share(interval_s, delay_s=delay_s)
            )
            print(
                f"checkpoints every {interval_s} s, killed {delay_s} s after the "
                f"last booking: {share:.1%} of repeats get the recorded outcome"
            )


if __name__ == "__main__":
    main()
