"""Time until a change is in force on every daemon."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import ClassVar

import aiohttp

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.measure.experiment import Experiment
from gypsumvane_devtools.measure.load_helpers import search_plan
from gypsumvane_devtools.measure.results import CURRENT
from gypsumvane_devtools.measure.results import at_least
from gypsumvane_devtools.measure.results import at_most
from gypsumvane_devtools.polling import wait_until

if TYPE_CHECKING:
    from gypsumvane_devtools.control_client import Reply
    from gypsumvane_devtools.measure.results import Check
    from gypsumvane_devtools.measure.results import MeasurementTable

DAEMONS = 8
CHANGES = 20
RACES = 10
IN_FORCE_TIMEOUT_S = 30.0
DOCUMENT = "/v1/documents/fleet"


class ConfigurationChangeExperiment(Experiment):
    """Change the fleet document, also with the store down after acceptance."""

    name: ClassVar[str] = "configuration_change"
    target: ClassVar[str] = (
        "in force on every live daemon within 2 s at 8 daemons, also with the store "
        "down after acceptance; reverts 0, also over restarts in an outage; of two "
        "operators racing one wins, the other is told"
    )
    set_up: ClassVar[str] = (
        f"{DAEMONS} daemons; {CHANGES} changes, one more with the store down right "
        f"after its acceptance and a daemon killed and started in the outage; {RACES} "
        "races of two operators at different daemons"
    )

    async def measure(self, variant: str, number: int) -> dict[str, float]:
        """Run once."""
        index = {"services": 2}
        async with Cluster(search_plan(daemons=DAEMONS, index=index)) as cluster:
            changer = FleetDocumentChanger(cluster)
            times_s = [await changer.change(n % DAEMONS) for n in range(CHANGES)]
            winner_counts = [await changer.race() for _ in range(RACES)]
            outage_s = await changer.change(0, store_down=True)
            reverts = await changer.reverts_after_restart()
            await cluster.store.post("/control/outage", on=False)
        return {
            "in_force_max_s": max(times_s),
            "in_force_mean_s": sum(times_s) / len(times_s),
            "in_force_outage_s": outage_s,
            "reverts": reverts,
            "races_with_one_winner": sum(winners == 1 for winners in winner_counts),
        }

    def check_targets(self, table: MeasurementTable) -> list[Check]:
        """Compare with the target."""
        slowest_s = table.highest(CURRENT, "in_force_max_s")
        outage_s = table.highest(CURRENT, "in_force_outage_s")
        races = table.lowest(CURRENT, "races_with_one_winner")
        return [
            at_most("seconds until in force everywhere", slowest_s, 2.0),
            at_most("the same, store down after acceptance", outage_s, 2.0),
            at_most("reverts", table.highest(CURRENT, "reverts"), 0),
            at_least("races with exactly one winner", races, RACES),
        ]


class FleetDocumentChanger:
    """Change the fleet document of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._revision = 1

    async def change(self, daemon: int, *, store_down: bool = False) -> float:
        """Change the document and return the time until it is in force."""
        reply = await self._put(daemon, f"change-{self._revision}")
        accepted_s = time.monotonic()
        if reply.status >= 300:
            raise RuntimeError(
                f"daemon refused the change: {reply.status} {reply.values}"
            )
        if store_down:
            await self._cluster.store.post("/control/outage", on=True)
        self._revision += 1
        await wait_until(
            self._in_force_everywhere,
            f"revision {self._revision} is in force",
            timeout_s=IN_FORCE_TIMEOUT_S,
            interval_s=0.005,
        )
        return time.monotonic() - accepted_s

    async def race(self) -> int:
        """Let two operators change the same revision; return how many succeeded."""
        revision = self._revision
        replies = await asyncio.gather(
            self._put(0, f"race-{revision}-left"),
            self._put(DAEMONS - 1, f"race-{revision}-right"),
        )
        winners = sum(reply.status < 300 for reply in replies)
        if winners:
            self._revision += 1
            await wait_until(
                self._in_force_everywhere, "the winning change is in force"
            )
        return winners

    async def reverts_after_restart(self) -> float:
        """Restart a daemon during the outage; count daemons with an old revision."""
        cluster = self._cluster
        await cluster.kill_daemon(DAEMONS - 1, vm_lost=True)
        await cluster.start_daemon(DAEMONS - 1)
        revisions = await self._revisions()
        return float(sum(revision < self._revision for revision in revisions))

    async def _put(self, daemon: int, change_id: str) -> Reply:
        body = {
            "change_id": change_id,
            "reason": "measurement of a configuration change",
            "expected_revision": self._revision,
            "body": {"defaults": {"page_size_max": 100 + self._revision}},
        }
        return await self._cluster.operator_request(
            "PUT", DOCUMENT, body, daemon=daemon
        )

    async def _in_force_everywhere(self) -> bool:
        revisions = await self._revisions()
        return min(revisions) >= self._revision

    async def _revisions(self) -> list[int]:
        numbers = range(len(self._cluster.daemons))
        return list(await asyncio.gather(*map(self._revision_at, numbers)))

    async def _revision_at(self, daemon: int) -> int:
        try:
            reply = await self._cluster.operator_request("GET", DOCUMENT, daemon=daemon)
        except aiohttp.ClientError:
            return 0
        return int(reply.values.get("revision", 0))
