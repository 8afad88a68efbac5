"""Leaf limits and correct answers hold while daemons fail, pause or are replaced."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.cluster_plan import ProxyPlan
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from tests.caller_load import CallerLoad

INDEX = "stock"


class MembershipCase(SystemCase):
    """Base class of tests that search while daemons fail."""

    plan = ClusterPlan(
        indexes=[IndexPlan(name=INDEX, services=6)],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
        fleet=FleetDocument(defaults=Policy(deadline_ms=800)),
        proxies=ProxyPlan(store=True, peers=True),
    )
    warm_index = INDEX

    def others(self, *lost: int) -> list[str]:
        """Return the VM ids of the remaining daemons."""
        return [f"vm-{number}" for number in range(4) if number not in lost]

    async def check_leaves(self, *, leaves_restarted: bool = False) -> None:
        """Check the limits of the leaves, also during cold starts."""
        await self.check_limits(leaves_restarted=leaves_restarted)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def check_load(self, load: CallerLoad) -> None:
        """Check the answers of the callers and the counters of the leaves."""
        self.check_answers(load)
        await self.check_leaves()


class DaemonLossTest(MembershipCase):
    """Kill daemons."""

    async def check_loss(self, number: int, *, vm_lost: bool) -> None:
        """Check that the others replace a daemon and accept it again."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.cluster.kill_daemon(number, vm_lost=vm_lost)
            await self.wait_members(self.others(number), daemon=0)
            await load.wait_complete(60)
            await self.cluster.start_daemon(number)
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_vm_lost(self) -> None:
        """Guard against leaves without a home after a VM is lost."""
        await self.check_loss(3, vm_lost=True)

    async def test_process_killed_on_a_listed_vm(self) -> None:
        """Guard against a suspected home that is never replaced."""
        await self.check_loss(2, vm_lost=False)

    async def test_two_daemons_lost_at_once(self) -> None:
        """Guard against a cluster that does not survive two lost VMs."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.cluster.kill_daemon(1, vm_lost=True)
            await self.cluster.kill_daemon(2, vm_lost=False)
            await self.wait_members(self.others(1, 2), daemon=0)
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_home_killed_while_the_store_is_down(self) -> None:
        """Guard against a home that is not replaced while the store is down."""
        await self.cluster.store.post("/control/outage", on=True, silent=True)
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.cluster.kill_daemon(1, vm_lost=True)
            await self.wait_members(self.others(1), daemon=0)
            await load.wait_complete(60)
            await self.cluster.store.post("/control/outage", on=False)
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_process_killed_while_the_store_is_down(self) -> None:
        """Guard against a home that is lost for the whole length of an outage.

        The leaves are warm before: while the view is not confirmed, no home sends to
        a leaf that may be cold, because two homes could do so.
        """
        async with self.load(INDEX) as load:
            await self.wait_leaves_warm()
            await self.cluster.store.post("/control/outage", on=True)
            await load.wait_answers(20)
            await self.cluster.kill_daemon(2, vm_lost=False)
            # The other replica of each service has a different home.
            await load.wait_complete(60)
            await self.cluster.start_daemon(2)
            await load.wait_complete(60)
            # The view cannot change until the store is back.
            await self.cluster.store.post("/control/outage", on=False)
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_store_outage(self) -> None:
        """Guard against homes that stop because the store is down."""
        for silent in (False, True):
            async with self.load(INDEX) as load:
                await self.cluster.store.post("/control/outage", on=True, silent=silent)
                await load.wait_answers(200)
                await self.cluster.store.post("/control/outage", on=False)
                await load.wait_answers(100)
            self.check_answers(load)
            self.assertEqual(load.describe_incomplete(), [])
        await self.check_leaves()


class DaemonPauseTest(MembershipCase):
    """Pause daemons until their leases expire."""

    async def test_paused_and_resumed(self) -> None:
        """Guard against two homes that exceed a leaf's limits after a pause."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            self.cluster.daemons[1].process.pause()
            await load.wait_complete(60)
            self.cluster.daemons[1].process.resume()
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_paused_replaced_in_the_view_and_resumed(self) -> None:
        """Guard against work by a home that was replaced while it was paused."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            self.cluster.daemons[2].process.pause()
            await self.wait_members(self.others(2), daemon=0)
            await load.wait_complete(60)
            self.cluster.daemons[2].process.resume()
            await load.wait_answers(60)
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_paused_during_a_store_outage(self) -> None:
        """Guard against two homes of a leaf after a pause without the store."""
        async with self.load(INDEX) as load:
            await self.cluster.store.post("/control/outage", on=True)
            await load.wait_answers(40)
            self.cluster.daemons[3].process.pause()
            await load.wait_answers(100)
            self.cluster.daemons[3].process.resume()
            await load.wait_answers(60)
            await self.cluster.store.post("/control/outage", on=False)
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_cut_off_from_peers(self) -> None:
        """Guard against two homes of one leaf after a half-open partition."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.add_rule("peer-vm-1", "half_open")
            await load.wait_answers(100)
            await self.clear_proxy_rules()
            await self.cluster.proxy.post("/control/links/peer-vm-1/cut")
            await self.wait_converged()
            await load.wait_complete(60)
        await self.check_load(load)

    async def test_cut_off_from_the_store(self) -> None:
        """Guard against a daemon that stops serving when it alone loses the store."""
        async with self.load(INDEX) as load:
            await self.add_rule("store-vm-1", "refuse")
            await self.cluster.proxy.post("/control/links/store-vm-1/cut")
            await load.wait_answers(200)
            await self.clear_proxy_rules()
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(load.describe_incomplete(), [])
        await self.check_leaves()

    async def check_partition(self, *, store_lost: bool) -> None:
        """Partition two failure domains from the others and reconnect them."""
        groups = ((0, 1), (2, 3))
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            for own, others in (groups, groups[::-1]):
                for target, opener in itertools.product(own, others):
                    opener_id = f"vm-{opener}"
                    await self.add_rule(
                        f"peer-vm-{target}", "half_open", first_match=opener_id
                    )
            if store_lost:
                for number in groups[1]:
                    await self.add_rule(f"store-vm-{number}", "refuse")
                    await self.cluster.proxy.post(
                        f"/control/links/store-vm-{number}/cut"
                    )
                await self.wait_members(self.others(2, 3), daemon=0)
            await load.wait_answers(60)
            # At most one home sends to a leaf in cold start.
            await self.cluster.upstreams.perform_action(
                "restart", 0.2, service="stock-01"
            )
            await load.wait_answers(60)
            await self.clear_proxy_rules()
            await self.wait_converged()
            await load.wait_complete(60)
        self.check_answers(load)
        self.assertTrue(load.incomplete, "the partition had no effect on the answers")
        await self.check_leaves(leaves_restarted=True)

    async def test_domains_lose_each_other(self) -> None:
        """Guard against two homes of one leaf on both sides of a partition (R3)."""
        await self.check_partition(store_lost=False)

    async def test_domains_lose_each_other_and_the_store(self) -> None:
        """Guard against a group that keeps serving with a replaced view (R3)."""
        await self.check_partition(store_lost=True)
