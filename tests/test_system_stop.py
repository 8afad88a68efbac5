"""A planned stop is a graceful shutdown that aborts no request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.sample_plans import lookup_index
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from tests.caller_load import CallerLoad

INDEX = "stock"


class GracefulStopTest(SystemCase):
    """Stop and restart daemons under load."""

    plan = ClusterPlan(
        indexes=[
            IndexPlan(name=INDEX, services=4),
            lookup_index(
                "bookings",
                services=2,
                replicas=2,
                slots=3,
                connections_max=100,
                non_idempotent=True,
            ),
        ],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
    )
    warm_index = INDEX
    finished_load: ClassVar[CallerLoad | None] = None

    async def restart_in_turn(self, load: CallerLoad) -> None:
        """Stop each daemon gracefully and start it again."""
        for number in range(4):
            self.assertEqual(await self.cluster.stop_daemon(number), 0)
            await load.wait_answers(20)
            await self.cluster.start_daemon(number)
            await self.wait_converged()
            await load.wait_answers(20)

    async def check_stop(self, load: CallerLoad) -> None:
        """Check that no request was aborted and no leaf overloaded."""
        self.check_answers(load)
        self.assertEqual(load.lost_answers, [])
        self.assertEqual(load.outcomes["failed"], 0)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)
        await self.check_limits()

    async def restart_all_once(self) -> CallerLoad:
        """Restart each daemon under load; the tests of the class share one run."""
        if GracefulStopTest.finished_load is None:
            async with self.load(INDEX, callers=6) as load:
                await load.wait_answers(40)
                await self.restart_in_turn(load)
                await load.wait_complete()
            GracefulStopTest.finished_load = load
        return GracefulStopTest.finished_load

    async def test_each_daemon_restarted_in_turn(self) -> None:
        """Guard against requests that a planned stop aborts (R10)."""
        await self.check_stop(await self.restart_all_once())

    async def test_each_restart_costs_no_coverage(self) -> None:
        """Guard against incomplete answers and refusals during restarts (R10)."""
        load = await self.restart_all_once()
        self.assertEqual(load.describe_incomplete(), [])

    async def test_restart_in_turn_during_a_store_outage(self) -> None:
        """Guard against aborted requests in restarts during an outage (R10).

        The view cannot change in an outage, so that a restarted daemon becomes a
        home only when the store is back. The last member has no successor until
        then; it keeps serving and stops afterwards.
        """
        async with self.load(INDEX, callers=6) as load:
            await load.wait_answers(40)
            await self.cluster.store.post("/control/outage", on=True)
            for number in range(3):
                self.assertEqual(await self.cluster.stop_daemon(number), 0)
                await load.wait_answers(20)
                await self.start_during_outage(number)
                await load.wait_complete()
            stopping = asyncio.create_task(self.cluster.stop_daemon(3))
            await load.wait_answers(60)
            await load.wait_complete()
            self.assertTrue(self.cluster.daemons[3].process.running)
            await self.cluster.store.post("/control/outage", on=False)
            self.assertEqual(await stopping, 0)
            await self.cluster.start_daemon(3)
            await self.wait_converged()
            await load.wait_complete()
        await self.check_stop(load)
        for values in load.incomplete:
            if values["outcome"] == "refused":
                self.assertEqual(values["verdict"], "not_run", values)

    async def start_during_outage(self, number: int) -> None:
        """Start a daemon that may become ready only after the outage."""
        daemon = self.cluster.daemons[number]
        await self.cluster.live_list.post(
            "/control/add", vm_id=daemon.vm_id, failure_domain=daemon.failure_domain
        )
        await daemon.start()
        await self.wait_listening(number)

    async def test_stop_while_bookings_run(self) -> None:
        """Guard against a booking without a verdict after a planned stop (R8, R10)."""
        slow = {"service_time": {"mean_ms": 200.0, "sigma": 0.0}}
        await self.cluster.upstreams.update_settings(slow, index="bookings")
        for number in (1, 2, 3):
            daemon = self.cluster.daemons[number]
            address = daemon.addresses.callers
            reply = await self.cluster.client.call(
                "POST", address, "/v1/idempotency-keys", {"count": 1}
            )
            key = reply.values["keys"][0]
            before = await self.cluster.upstreams.count_begun(index="bookings")
            booking = asyncio.create_task(
                self.cluster.run("bookings", {"key": f"r-{number}"}, key, daemon=number)
            )

            async def started(before: int = before) -> bool:
                found = await self.cluster.upstreams.count_begun(index="bookings")
                return found > before

            await self.until(started, "the booking runs")
            self.assertEqual(await self.cluster.stop_daemon(number), 0)
            answer = await booking
            self.assertEqual(answer.values["verdict"], "ran", answer.values)
            self.assertEqual(await self.runs_of(key), 1)
            await self.cluster.start_daemon(number)
            await self.wait_converged()

    async def all_know_leaving(self, number: int) -> bool:
        """Return whether every daemon sees that one is leaving."""
        vm_id = self.cluster.daemons[number].vm_id
        replies = [await self.vms(asked) for asked in range(4)]
        return all(
            any(vm["vm_id"] == vm_id and vm["leaving"] for vm in values["vms"])
            for values in replies
        )

    async def test_leaving_daemon_is_not_listed(self) -> None:
        """Guard against callers that are directed to a leaving daemon (R10)."""
        daemon = self.cluster.daemons[2]
        async with self.load(INDEX) as load:
            stopping = asyncio.create_task(self.cluster.stop_daemon(2))
            await self.until(lambda: self.all_know_leaving(2), "vm-2 is leaving")
            # The leaving daemon answers as well, until it stops.
            for number in range(4):
                reply = await self.cluster.client.call(
                    "GET",
                    self.cluster.daemons[number].addresses.callers,
                    "/v1/entry-addresses?failure_domain=c",
                )
                self.assertEqual(reply.status, 200)
                self.assertNotIn(daemon.addresses.callers, reply.values["addresses"])
            self.assertEqual(await stopping, 0)
            await load.wait_answers(20)
        self.assertEqual(load.lost_answers, [])
