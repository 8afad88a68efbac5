"""Accepted configuration comes into force everywhere and never reverts."""

from __future__ import annotations

import asyncio
from typing import Any

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.cluster_plan import ProxyPlan
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

INDEX = "stock"
FLEET = "fleet"


class ConfigurationTest(SystemCase):
    """Change documents concurrently and under faults."""

    plan = ClusterPlan(
        indexes=[IndexPlan(name=INDEX, services=2)],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
        proxies=ProxyPlan(store=True),
    )

    async def fleet(self, deadline_ms: int) -> tuple[dict[str, Any], int]:
        """Return the fleet document with a new deadline, and its revision."""
        document = await self.document(FLEET)
        body = document["body"]
        defaults = {**body["defaults"], "deadline_ms": deadline_ms}
        return {**body, "defaults": defaults}, int(document["revision"])

    async def change_fleet(self, deadline_ms: int, change_id: str) -> int:
        """Change the deadline of the fleet and return the new revision."""
        body, revision = await self.fleet(deadline_ms)
        reply = await self.put_document(
            FLEET, body, revision=revision, change_id=change_id
        )
        self.assertEqual(reply.status, 200, reply.values)
        return int(reply.values["revision"])

    async def check_in_force(self, revision: int, deadline_ms: int) -> None:
        """Wait until a revision is in force and check its content everywhere."""
        await self.wait_in_force(FLEET, revision)
        for number in self.running():
            document = await self.document(FLEET, daemon=number)
            self.assertEqual(document["revision"], revision)
            found = document["body"]["defaults"]["deadline_ms"]
            self.assertEqual(found, deadline_ms)

    async def test_change_reaches_all_daemons(self) -> None:
        """Guard against a change that some daemons never apply (R11)."""
        revision = await self.change_fleet(1100, "all-1")
        await self.check_in_force(revision, 1100)
        reply = await self.cluster.operator_request("GET", f"/v1/in-force/{FLEET}")
        self.assertEqual(len(reply.values["vms"]), 4)
        for vm in reply.values["vms"]:
            self.assertEqual(vm["revision"], revision, vm)

    async def test_operators_race(self) -> None:
        """Guard against two concurrent changes that are both accepted (R11)."""
        for turn in range(3):
            values = [1200 + 10 * turn + number for number in range(4)]
            offers = [(await self.fleet(value)) for value in values]
            replies = await asyncio.gather(
                *(
                    self.put_document(
                        FLEET,
                        body,
                        revision=revision,
                        change_id=f"race-{turn}-{number}",
                        daemon=number,
                    )
                    for number, (body, revision) in enumerate(offers)
                )
            )
            statuses = sorted(reply.status for reply in replies)
            self.assertEqual(statuses, [200, 409, 409, 409])
            winner = [reply.status for reply in replies].index(200)
            revision = replies[winner].values["revision"]
            for reply in replies:
                if reply.status == 409:
                    self.assertEqual(reply.values["revision"], revision)
                    self.assertEqual(reply.values["author"], f"operator-{winner}")
            await self.check_in_force(revision, values[winner])

    async def test_lost_store_answer(self) -> None:
        """Guard against a change that is applied twice or reported as failed (R11)."""
        before = (await self.document(FLEET))["revision"]
        prefix = "config/documents"
        await self.cluster.store.post("/control/lose-answers", count=1, prefix=prefix)
        revision = await self.change_fleet(1300, "lost-1")
        self.assertEqual(revision, before + 1)
        body, _ = await self.fleet(1300)
        repeat = await self.put_document(
            FLEET, body, revision=before, change_id="lost-1", daemon=2
        )
        self.assertEqual((repeat.status, repeat.values["revision"]), (200, revision))
        await self.check_in_force(revision, 1300)

    async def test_cut_connections_to_the_store(self) -> None:
        """Guard against an outcome that contradicts the store (R11)."""
        for kind in ("cut_before", "cut_after", "lose_answer"):
            await self.add_rule("store-vm-0", kind, match="PUT ", count=1)
            body, before = await self.fleet(1400)
            reply = await self.put_document(
                FLEET, body, revision=before, change_id=f"cut-{kind}"
            )
            await self.clear_proxy_rules()
            path = f"/v1/changes/cut-{kind}?document={FLEET}"
            found = await self.cluster.operator_request("GET", path, daemon=1)
            if reply.status == 200:
                self.assertEqual(found.status, 200, found.values)
                self.assertEqual(found.values["revision"], before + 1)
                await self.wait_in_force(FLEET, before + 1)
            elif reply.status == 503:
                self.assertEqual(found.status, 404, found.values)
            else:
                self.assertEqual(reply.status, 504, reply.values)

    async def test_store_down_after_acceptance(self) -> None:
        """Guard against a change that is lost or reverts in an outage (R11)."""
        revision = await self.change_fleet(1500, "outage-1")
        await self.cluster.store.post("/control/outage", on=True)
        await self.check_in_force(revision, 1500)
        for number in (3, 2):
            await self.cluster.kill_daemon(number, vm_lost=True)
            await self.wait_gone(number, daemon=0)
            # The view cannot change in the outage, so that the daemon becomes a
            # member only afterwards; it gets the document from a peer.
            await self.cluster.start_daemon(number)
            await self.check_in_force(revision, 1500)
        await self.cluster.store.post("/control/outage", on=False)
        await self.wait_converged()
        await self.check_in_force(revision, 1500)

    async def test_change_in_an_outage_is_refused(self) -> None:
        """Guard against an accepted change that is not in the store (R11)."""
        body, before = await self.fleet(1600)
        for silent in (False, True):
            await self.cluster.store.post("/control/outage", on=True, silent=silent)
            change_id = f"refused-{silent}"
            reply = await self.put_document(
                FLEET, body, revision=before, change_id=change_id
            )
            self.assertIn(reply.status, (503, 504), reply.values)
        await self.cluster.store.post("/control/outage", on=False)
        await self.wait_converged()
        self.assertEqual(await self.revisions(FLEET), [before] * 4)

    async def test_slow_store(self) -> None:
        """Guard against a wrong outcome while the store is slow (R11)."""
        await self.cluster.store.post("/control/slow", ms=300)
        revision = await self.change_fleet(1700, "slow-1")
        await self.check_in_force(revision, 1700)

    async def test_daemon_paused_during_a_change(self) -> None:
        """Guard against a daemon that restores an old revision on resuming (R11)."""
        self.cluster.daemons[3].process.pause()
        await self.wait_members(["vm-0", "vm-1", "vm-2"], daemon=0)
        revision = await self.change_fleet(1800, "pause-1")
        self.cluster.daemons[3].process.resume()
        await self.check_in_force(revision, 1800)

    async def test_start_without_store_and_peers(self) -> None:
        """Guard against a daemon that serves without configuration (R7, R11)."""
        revision = await self.change_fleet(1900, "cold-1")
        await self.check_in_force(revision, 1900)
        for number in range(4):
            await self.cluster.kill_daemon(number, vm_lost=False)
        await self.cluster.store.post("/control/outage", on=True)
        daemon = self.cluster.daemons[0]
        await daemon.start()
        await self.wait_listening(0)
        ready = await self.cluster.client.call(
            "GET", daemon.addresses.callers, "/v1/ready"
        )
        self.assertEqual(ready.status, 503)
        reply = await self.cluster.search(INDEX, "speaker")
        self.assertEqual(reply.status, 503, reply.values)
        self.assertEqual(reply.values["verdict"], "not_run")
        await self.cluster.store.post("/control/outage", on=False)
        await self.restore_daemons()
        await self.check_in_force(revision, 1900)
