"""Version moves: good versions on time, bad versions taken back."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import INDEX
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import at_least
from gypsumvane_devtools.measure.results import at_most
from gypsumvane_devtools.polling import wait_until

if TYPE_CHECKING:
    from gypsumvane_devtools.cluster import Cluster
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

GOOD_VERSION = "good"
BAD_VERSION = "fails during the canary"
NEW_VERSION = "v2"
CANARY_SHARE = 0.1
RATE_PER_S = 80.0
DURATION_S = 30.0
GOOD_MOVE_DURATION_S = 20.0
BAD_MOVE_DURATION_S = 600.0
FAULT_AFTER_S = 8.0
OBSERVATION_S = 8.0
POLL_INTERVAL_S = 0.05
SETTLE_S = 1.0
SHARE_SERIES = "new version, share of the searches of each second"


class VersionMoveExperiment(Experiment):
    """Move an index to a good version, and to one that begins to fail."""

    name: ClassVar[str] = "version_move"
    target: ClassVar[str] = (
        "good version done on time and reported as done only once true; bad version "
        "at most its canary share before the fault shows, none 2 s after, taken back"
    )
    set_up: ClassVar[str] = (
        f"4 services with 2 leaves of each version, 4 daemons, {RATE_PER_S:g} "
        f"searches/s, canary share {CANARY_SHARE:g}; the good move lasts "
        f"{GOOD_MOVE_DURATION_S:g} s; the bad version fails from {FAULT_AFTER_S:g} s on"
    )

    def variants(self) -> list[str]:
        """Return the two kinds of versions."""
        return [GOOD_VERSION, BAD_VERSION]

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one kind once."""
        index = {"services": 4, "new_replicas": 2}
        async with warm_cluster(search_plan(index=index)) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            ) as load_task:
                shares = asyncio.create_task(share_by_second(cluster, load_task))
                measure = run_good_move if variant == GOOD_VERSION else run_bad_move
                values = await measure(cluster)
                self.series[SHARE_SERIES] = await shares
            result = load_task.result()
        return {**values, "complete_share": result.complete_in_time_share()}

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        return [
            at_least("good moves done", table.lowest(GOOD_VERSION, "done"), 1),
            at_most(
                "daemons below share 1 when done",
                table.highest(GOOD_VERSION, "incomplete_when_done"),
                0,
            ),
            at_least(
                "bad moves taken back", table.lowest(BAD_VERSION, "taken_back"), 1
            ),
            at_most(
                "seconds with new work after the fault",
                table.highest(BAD_VERSION, "last_work_after_s"),
                2.0,
            ),
        ]


async def run_good_move(cluster: Cluster) -> dict[str, float]:
    """Move to a good version and return how late it was done."""
    complete_by_s = await start_move(cluster, GOOD_MOVE_DURATION_S)

    async def is_done() -> bool:
        return await move_state(cluster) == "done"

    await wait_until(
        is_done, "the move is done", timeout_s=60.0, interval_s=POLL_INTERVAL_S
    )
    late_s = time.time() - complete_by_s
    status = (await read_move(cluster))["status"]
    incomplete = sum(share < 1.0 for share in status["applied"].values())
    return {
        "done": 1.0,
        "done_late_s": late_s,
        "incomplete_when_done": float(incomplete),
    }


async def run_bad_move(cluster: Cluster) -> dict[str, float]:
    """Let the new version fail and return how long it still got searches."""
    await start_move(cluster, BAD_MOVE_DURATION_S)
    await asyncio.sleep(SETTLE_S)
    # Exclude searches that were in progress when the move began.
    await cluster.upstreams.perform_action("reset_counters", index=INDEX)
    await asyncio.sleep(FAULT_AFTER_S)
    before = await received_share(cluster)
    fault = {"fault": {"mode": "fail"}}
    await cluster.upstreams.update_settings(fault, index=INDEX, version=NEW_VERSION)
    last_s = await last_new_work_s(cluster)
    state = await move_state(cluster)
    return {
        "new_share_before": before,
        "last_work_after_s": last_s,
        "taken_back": float(state == "taken_back"),
    }


async def start_move(cluster: Cluster, duration_s: float) -> float:
    """Start the move and return the time by which it should be complete."""
    now_s = time.time()
    body = {
        "change_id": "measure-move",
        "reason": "measurement of a version move",
        "move_id": "measure-move",
        "from_version": "v1",
        "to_version": NEW_VERSION,
        "start_unix_s": now_s,
        "complete_by_unix_s": now_s + duration_s,
        "canary_share": CANARY_SHARE,
    }
    reply = await cluster.operator_request("POST", f"/v1/moves/{INDEX}/start", body)
    if reply.status >= 300:
        raise RuntimeError(f"daemon refused the move: {reply.status} {reply.values}")
    return now_s + duration_s


async def read_move(cluster: Cluster) -> dict[str, Any]:
    """Return the move as the first daemon knows it."""
    return (await cluster.operator_request("GET", f"/v1/moves/{INDEX}")).values


async def move_state(cluster: Cluster) -> str:
    """Return the state of the move at the first daemon."""
    return str((await read_move(cluster))["status"]["state"])


async def count_received(cluster: Cluster, version: str) -> int:
    """Return the searches that the leaves of a version received."""
    counters = await cluster.upstreams.counters(index=INDEX, version=version)
    return sum(values["received"].get("search", 0) for values in counters.values())


async def received_share(cluster: Cluster) -> float:
    """Return the share of searches that the new version received."""
    new = await count_received(cluster, NEW_VERSION)
    return new / max(1, new + await count_received(cluster, "v1"))


async def share_by_second(
    cluster: Cluster, load_task: asyncio.Task[Any]
) -> list[float]:
    """Return the share of the new version in each second of the load."""
    shares: list[float] = []
    new, old = (
        await count_received(cluster, NEW_VERSION),
        await count_received(cluster, "v1"),
    )
    while not load_task.done():
        await asyncio.sleep(1.0)
        new_now, old_now = (
            await count_received(cluster, NEW_VERSION),
            await count_received(cluster, "v1"),
        )
        # Counters that were reset in between start from 0.
        new_delta = new_now - new if new_now >= new else new_now
        old_delta = old_now - old if old_now >= old else old_now
        shares.append(new_delta / max(1, new_delta + old_delta))
        new, old = new_now, old_now
    return shares


async def last_new_work_s(cluster: Cluster) -> float:
    """Return the seconds until the new version received its last search."""
    start_s = time.monotonic()
    count = await count_received(cluster, NEW_VERSION)
    last_s = 0.0
    while time.monotonic() - start_s < OBSERVATION_S:
        new_count = await count_received(cluster, NEW_VERSION)
        if new_count > count:
            last_s = time.monotonic() - start_s
        count = new_count
        await asyncio.sleep(POLL_INTERVAL_S)
    return last_s
