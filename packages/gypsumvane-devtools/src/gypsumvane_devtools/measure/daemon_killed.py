"""Time until answers are complete again after a daemon was killed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import COMPLETE_SERIES
from gypsumvane_devtools.measure.load_helpers import complete_by_second
from gypsumvane_devtools.measure.load_helpers import counter_max
from gypsumvane_devtools.measure.load_helpers import running_load
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.load_helpers import warm_cluster
from gypsumvane_devtools.measure.results import at_most

if TYPE_CHECKING:
    from gypsumvane_devtools.load_result import SecondCounts
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

VM_LOST = "vm lost"
PROCESS_KILLED = "process killed"
SERVICES = 8
SLOTS = 2
CONNECTIONS = 25
RATE_PER_S = 40.0
KILL_AFTER_S = 5
DURATION_S = 25.0


class DaemonKilledExperiment(Experiment):
    """Kill one of four daemons under load, with and without its VM."""

    name: ClassVar[str] = "daemon_killed"
    target: ClassVar[str] = (
        "homes taken over, answers complete again: seconds stated; slots and "
        "connections never exceeded"
    )
    set_up: ClassVar[str] = (
        f"{SERVICES} services x 2 leaves; 4 daemons, one killed after {KILL_AFTER_S} "
        f"s; {RATE_PER_S:g} searches/s for {DURATION_S:g} s; leaves start warm; "
        "address lists kept 1 s"
    )

    def variants(self) -> list[str]:
        """Return the two ways to lose a daemon."""
        return [VM_LOST, PROCESS_KILLED]

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run one variant once."""
        index = {"services": SERVICES, "slots": SLOTS, "connections_max": CONNECTIONS}
        settings = {"entry": {"keep_ms": 1000}}
        plan = search_plan(index=index, daemon_settings=settings)
        async with warm_cluster(plan) as cluster:
            async with running_load(
                cluster, rate_per_s=RATE_PER_S, duration_s=DURATION_S, seed=number + 1
            ) as load_task:
                await asyncio.sleep(KILL_AFTER_S)
                await cluster.kill_daemon(3, vm_lost=variant == VM_LOST)
            result = load_task.result()
            self.series[COMPLETE_SERIES] = complete_by_second(result)
            values = {
                "running_max": await counter_max(cluster, "running_max"),
                "connections_max": await counter_max(cluster, "connections_max"),
            }
        return {
            "incomplete_s": last_incomplete_s(result.seconds, KILL_AFTER_S),
            "complete_share": result.complete_in_time_share(),
            "lost": result.outcomes.get("lost", 0),
            **values,
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Check that answers were complete again before the load ended."""
        checks = []
        for variant in self.variants():
            seconds = table.highest(variant, "incomplete_s")
            left_s = DURATION_S - KILL_AFTER_S - 1
            checks.append(at_most(f"seconds to complete ({variant})", seconds, left_s))
            slots = table.highest(variant, "running_max")
            checks.append(at_most(f"slots used ({variant})", slots, SLOTS))
            connections = table.highest(variant, "connections_max")
            text = f"connections used ({variant})"
            checks.append(at_most(text, connections, CONNECTIONS))
        return checks


def last_incomplete_s(seconds: list[SecondCounts], after_s: int) -> float:
    """Return the time from `after_s` to the end of the last incomplete second."""
    gaps = [
        number + 1 - after_s
        for number, counts in enumerate(seconds)
        if number >= after_s and counts.complete_in_time < counts.offered
    ]
    return float(max(gaps, default=0))
