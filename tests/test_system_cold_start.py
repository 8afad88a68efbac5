"""Cold upstreams never receive more than their cold-start limit."""

from __future__ import annotations

from gypsumvane_devtools.cluster_plan import IndexPlan
from tests.system_case import SystemCase
from tests.system_case import three_domain_plan

INDEX = "stock"
LEAF = "stock-00-0"


class ColdStartTest(SystemCase):
    """Check the counters of leaves that become cold under load."""

    plan = three_domain_plan(IndexPlan(name=INDEX, services=4))
    warm_index = INDEX

    async def wait_warm(self, leaf_id: str) -> None:
        """Wait until a leaf is no longer cold."""

        async def warm() -> bool:
            state = (await self.cluster.upstreams.states())[leaf_id]
            return not state["cold"] and not state["down"]

        await self.until(warm, f"{leaf_id} is warm")

    async def test_restart_under_load(self) -> None:
        """Guard against full load on an upstream that has restarted (R3)."""
        async with self.load(INDEX, callers=8) as load:
            await load.wait_answers(40)
            await self.cluster.upstreams.perform_action("restart", 0.5, leaf_id=LEAF)
            await load.wait_answers(40)
            await self.wait_warm(LEAF)
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        await self.check_limits(leaves_restarted=True)

    async def test_cold_without_warning(self) -> None:
        """Guard against load after the first sign of an unannounced cold start (R3)."""
        for new_boot_id in (True, False):
            async with self.load(INDEX, callers=8) as load:
                await load.wait_answers(40)
                await self.cluster.upstreams.perform_action(
                    "turn_cold", new_boot_id, leaf_id=LEAF
                )
                await load.wait_answers(40)
                await self.wait_warm(LEAF)
                await load.wait_complete()
            self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        slots = self.cluster.upstreams.leaves[0].slots
        unwarned = await self.counter_sum("cold_excess_unwarned")
        self.assertLessEqual(unwarned, 2 * slots)
        await self.check_limits()

    async def test_misleading_report(self) -> None:
        """Guard against relying on a report that hides load and a cold start (R3)."""
        misleading_report = {
            "report": {"hides_cold": True, "load_factor": 0.0, "lag_s": 2.0}
        }
        await self.cluster.upstreams.update_settings(misleading_report)
        async with self.load(INDEX, callers=8) as load:
            await load.wait_answers(20)
            await self.cluster.upstreams.perform_action("restart", 0.5, leaf_id=LEAF)
            await load.wait_answers(20)
            await self.cluster.upstreams.perform_action(
                "turn_cold", True, leaf_id="stock-01-0"
            )
            await load.wait_answers(20)
            await self.wait_warm(LEAF)
            await self.wait_warm("stock-01-0")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        await self.check_limits(leaves_restarted=True)

    async def test_all_replicas_of_a_service_restart(self) -> None:
        """Guard against a service that never becomes warm again (R3)."""
        async with self.load(INDEX, callers=8) as load:
            await load.wait_answers(20)
            await self.cluster.upstreams.perform_action(
                "restart", 0.5, service="stock-02"
            )
            await load.wait_answers(20)
            for replica in range(2):
                await self.wait_warm(f"stock-02-{replica}")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_leaf_turns_cold_while_its_home_is_lost(self) -> None:
        """Guard against a new home that is unaware of a cold start (R3)."""
        home = await self.home_number(LEAF)
        assert home is not None
        async with self.load(INDEX, callers=6) as load:
            await load.wait_answers(20)
            await self.cluster.kill_daemon(home, vm_lost=True)
            await self.cluster.upstreams.perform_action("turn_cold", True, leaf_id=LEAF)
            await load.wait_answers(20)
            await self.wait_warm(LEAF)
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        await self.check_limits()

    async def test_cold_leaf_during_a_store_outage(self) -> None:
        """Guard against load on a cold upstream while the store is down (R3)."""
        await self.cluster.store.post("/control/outage", on=True, silent=True)
        async with self.load(INDEX, callers=8) as load:
            await load.wait_answers(20)
            await self.cluster.upstreams.perform_action("restart", 0.5, leaf_id=LEAF)
            await load.wait_answers(20)
            await self.wait_warm(LEAF)
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
