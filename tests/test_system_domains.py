"""A failure domain that is taken out receives no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from tests.caller_load import CallerLoad

INDEX = "stock"
DOMAIN = "b"


class FailureDomainTest(SystemCase):
    """Take a failure domain out and in under load and during other faults."""

    plan = ClusterPlan(
        indexes=[IndexPlan(name=INDEX, services=6)],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
    )
    warm_index = INDEX

    async def take_out(self, change_id: str) -> None:
        """Take the domain out and wait until the change is in force."""
        revision = await self.change_domain(DOMAIN, "out", change_id)
        await self.wait_in_force("domains", revision)

    async def bring_in(self, change_id: str) -> None:
        """Bring the domain in and wait until the change is in force."""
        revision = await self.change_domain(DOMAIN, "in", change_id)
        await self.wait_in_force("domains", revision)

    async def check_no_new_work(self, load: CallerLoad) -> None:
        """Wait for work in progress and check that no new work arrives."""
        await load.wait_earlier_requests()
        await self.cluster.upstreams.perform_action("mark_out", failure_domain=DOMAIN)
        await load.wait_answers(100)
        out = await self.counter_sum("received_while_out", failure_domain=DOMAIN)
        self.assertEqual(out, 0)

    async def test_out_and_in_under_load(self) -> None:
        """Guard against new work in a domain that is out (R4)."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.take_out("out-1")
            await self.check_no_new_work(load)
            await self.cluster.upstreams.perform_action(
                "mark_in", failure_domain=DOMAIN
            )
            before = await self.received("search", failure_domain=DOMAIN)
            await self.bring_in("in-1")

            async def works_again() -> bool:
                return await self.received("search", failure_domain=DOMAIN) > before

            await self.until(works_again, f"domain {DOMAIN} works again")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(load.lost_answers, [])
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        await self.check_limits()

    async def test_entry_addresses_omit_the_domain(self) -> None:
        """Guard against callers that are sent to a domain that is out (R4)."""
        await self.take_out("out-2")
        domain_address = self.cluster.daemons[1].addresses.callers
        self.assertEqual(self.cluster.daemons[1].failure_domain, DOMAIN)
        for daemon in self.cluster.daemons:
            reply = await self.cluster.client.call(
                "GET",
                daemon.addresses.callers,
                f"/v1/entry-addresses?failure_domain={DOMAIN}",
            )
            self.assertNotIn(domain_address, reply.values["addresses"])
            self.assertEqual(len(reply.values["addresses"]), 3)
        # The view that moves the homes is written after the document is in force.
        await self.until(self.no_home_in_domain, f"no home is in {DOMAIN}")
        await self.bring_in("in-2")

    async def no_home_in_domain(self) -> bool:
        """Return whether no daemon sees a home in the domain that is out."""
        homes = [
            await self.home_number(leaf.leaf_id, daemon=number)
            for number in self.running()
            for leaf in self.cluster.upstreams.leaves
        ]
        return not any(
            home is not None and self.cluster.daemons[home].failure_domain == DOMAIN
            for home in homes
        )

    async def test_out_during_a_store_outage(self) -> None:
        """Guard against a domain that returns because the store is down (R4)."""
        revision = await self.change_domain(DOMAIN, "out", "out-3")
        await self.cluster.store.post("/control/outage", on=True)
        await self.wait_in_force("domains", revision)
        async with self.load(INDEX) as load:
            await self.check_no_new_work(load)
            # A daemon that starts in the outage must not bring the domain back.
            await self.cluster.kill_daemon(2, vm_lost=True)
            await self.wait_members(["vm-0", "vm-1", "vm-3"], daemon=0)
            await self.cluster.start_daemon(2)
            await load.wait_answers(60)
        out = await self.counter_sum("received_while_out", failure_domain=DOMAIN)
        self.assertEqual(out, 0)
        self.assertEqual(min(await self.revisions("domains")), revision)
        self.check_answers(load)
        await self.cluster.store.post("/control/outage", on=False)
        await self.bring_in("in-3")

    async def test_daemon_paused_while_the_domain_goes_out(self) -> None:
        """Guard against a daemon that resumes with an old document (R4, R11)."""
        victim = 2
        async with self.load(INDEX) as load:
            self.cluster.daemons[victim].process.pause()
            revision = await self.change_domain(DOMAIN, "out", "out-4")

            async def others_applied() -> bool:
                found = [
                    (await self.document("domains", daemon=number))["revision"]
                    for number in (0, 1, 3)
                ]
                return min(found) >= revision

            await self.until(others_applied, "the others applied the document")
            self.cluster.daemons[victim].process.resume()
            await self.wait_in_force("domains", revision)
            await self.check_no_new_work(load)
        self.check_answers(load)
        await self.bring_in("in-4")
