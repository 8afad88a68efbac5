"""An upstream that drains receives no new work."""

from __future__ import annotations

from gypsumvane_devtools.cluster_plan import IndexPlan
from tests.system_case import SystemCase
from tests.system_case import three_domain_plan

INDEX = "stock"
LEAF = "stock-01-0"


class DrainTest(SystemCase):
    """Drain an upstream by its report, its responses and its document."""

    plan = three_domain_plan(IndexPlan(name=INDEX, services=3))
    warm_index = INDEX

    async def wait_state(self, leaf_id: str, state: str) -> None:
        """Wait until every running daemon sees a leaf in a state."""

        async def reported() -> bool:
            path = f"/v1/leaves/{leaf_id}"
            found = [
                (await self.cluster.operator_request("GET", path, daemon=number)).values
                for number in self.running()
            ]
            return all(values["state"] == state for values in found)

        await self.until(reported, f"{leaf_id} is {state}")

    async def test_drain_under_load(self) -> None:
        """Guard against new work for a draining upstream (R9)."""
        async with self.load(INDEX) as load:
            await load.wait_answers(40)
            await self.cluster.upstreams.perform_action("drain", leaf_id=LEAF)
            await self.wait_state(LEAF, "draining")
            await load.wait_earlier_requests()
            await self.cluster.upstreams.perform_action("reset_counters", leaf_id=LEAF)
            await load.wait_answers(100)
            self.assertEqual(await self.received("search", leaf_id=LEAF), 0)
            await self.cluster.upstreams.perform_action("undrain", leaf_id=LEAF)

            async def works_again() -> bool:
                return await self.received("search", leaf_id=LEAF) > 0

            await self.until(works_again, f"{LEAF} works again")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(load.describe_incomplete(), [])
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_drain_during_a_store_outage(self) -> None:
        """Guard against a drain that is detected only through the store (R9)."""
        await self.cluster.store.post("/control/outage", on=True)
        async with self.load(INDEX) as load:
            await self.cluster.upstreams.perform_action("drain", leaf_id=LEAF)
            await self.wait_state(LEAF, "draining")
            await load.wait_earlier_requests()
            await self.cluster.upstreams.perform_action("reset_counters", leaf_id=LEAF)
            await load.wait_answers(100)
            self.assertEqual(await self.received("search", leaf_id=LEAF), 0)
        self.assertEqual(load.describe_incomplete(), [])

    async def test_home_lost_while_a_leaf_drains(self) -> None:
        """Guard against a new home that is unaware of the drain (R9)."""
        await self.cluster.upstreams.perform_action("drain", leaf_id=LEAF)
        await self.wait_state(LEAF, "draining")
        home = await self.home_number(LEAF)
        assert home is not None
        async with self.load(INDEX) as load:
            await self.cluster.kill_daemon(home, vm_lost=True)
            await load.wait_answers(20)
            await self.wait_state(LEAF, "draining")
            await load.wait_earlier_requests()
            await self.cluster.upstreams.perform_action("reset_counters", leaf_id=LEAF)
            await load.wait_answers(60)
            self.assertEqual(await self.received("search", leaf_id=LEAF), 0)
        self.check_answers(load)

    async def test_leaving_in_the_document(self) -> None:
        """Guard against new work for a leaf marked as leaving in its document (R9)."""
        name = f"index/{INDEX}"
        document = await self.document(name)
        leaves = [
            {**leaf, "leaving": leaf["leaf_id"] == LEAF}
            for leaf in document["body"]["leaves"]
        ]
        revision = document["revision"]
        async with self.load(INDEX) as load:
            reply = await self.put_document(
                name,
                {**document["body"], "leaves": leaves},
                revision=revision,
                change_id="leaving-1",
            )
            self.assertEqual(reply.status, 200, reply.values)
            await self.wait_in_force(name, revision + 1)
            await load.wait_earlier_requests()
            await self.cluster.upstreams.perform_action("reset_counters", leaf_id=LEAF)
            await load.wait_answers(100)
            self.assertEqual(await self.received("search", leaf_id=LEAF), 0)
            reply = await self.put_document(
                name, document["body"], revision=revision + 1, change_id="leaving-2"
            )
            self.assertEqual(reply.status, 200, reply.values)
            await self.wait_in_force(name, revision + 2)
        self.check_answers(load)
