"""Versions that fail later, only under load or on one route, or become slow."""

from __future__ import annotations

import asyncio
import contextlib
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

from tests.system_case import three_domain_plan
from tests.test_system_moves import CANARY_SHARE
from tests.test_system_moves import FAIL
from tests.test_system_moves import NEW
from tests.test_system_moves import OLD
from tests.test_system_moves import MoveCase
from tests.test_system_moves import index_plan

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

NO_FAULT = {"fault": {"mode": "none"}}
# The canary lasts 30 s and the share then rises so slowly that it stays small.
LONG_MOVE_S = 3600.0
LOOKUP_PAUSE_S = 0.005


class BadVersionTest(MoveCase):
    """Check that bad versions stay within the canary share and are taken back."""

    plan = three_domain_plan(*map(index_plan, ("late", "loaded", "route", "slower")))

    async def check_remains_taken_back(
        self, load: Any, index: str, reason: str
    ) -> None:
        """Check that the version is taken back and stays so after its repair."""
        await self.wait_state(index, "taken_back")
        await self.check_canary(index)
        status = (await self.move(index, 0))["status"]
        self.assertIn(reason, status["state_reason"])
        await self.check_no_new_work(load, index, NEW)
        await self.wait_recorded(index, "taken_back")
        await self.cluster.upstreams.update_settings(NO_FAULT, index=index, version=NEW)
        await self.check_no_new_work(load, index, NEW)
        # A new process learns of the move only from documents and peers.
        await self.cluster.kill_daemon(2, vm_lost=False)
        await self.cluster.start_daemon(2)
        await self.wait_converged()
        await self.check_no_new_work(load, index, NEW)
        await self.wait_state(index, "taken_back")
        self.assertEqual(await self.current_versions(index), {OLD})

    async def wait_new_leaves_warm(self, index: str) -> None:
        """Wait until each service has a new leaf with a limit of two calls.

        Requests of a single caller go to the warm leaf, so that the other leaf
        stays cold.
        """
        leaves = [
            leaf
            for leaf in self.cluster.upstreams.leaves
            if leaf.index == index and leaf.version == NEW
        ]

        async def warm() -> bool:
            services = set()
            for leaf in leaves:
                home = await self.home_number(leaf.leaf_id)
                path = f"/v1/leaves/{leaf.leaf_id}"
                reply = await self.cluster.operator_request(
                    "GET", path, daemon=home or 0
                )
                if (reply.values["limit"] or 0) >= 2:
                    services.add(leaf.service)
            return services == {leaf.service for leaf in leaves}

        await self.until(warm, f"new leaves of {index} are warm")

    @asynccontextmanager
    async def lookups(self, index: str) -> AsyncIterator[None]:
        """Send lookups until the block ends."""

        async def look_up() -> None:
            number = 0
            while True:
                number += 1
                # A daemon that the test restarts refuses connections.
                with contextlib.suppress(OSError):
                    await self.cluster.request(
                        "lookup", index, {"key": f"key-{number}"}, daemon=number % 2
                    )
                await asyncio.sleep(LOOKUP_PAUSE_S)

        tasks = [asyncio.create_task(look_up()) for _ in range(2)]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def check_lookup_canary(self, index: str) -> None:
        """Check that the new version received at most its canary share of lookups."""
        new = await self.received("lookup", index=index, version=NEW)
        old = await self.received("lookup", index=index, version=OLD)
        mean = CANARY_SHARE * (new + old)
        self.assertLessEqual(new, 1.1 * (mean + 6 * math.sqrt(mean + 1)), (new, old))

    async def test_fails_later_in_the_canary(self) -> None:
        """Guard against a fault that earlier good answers of the version outweigh."""
        await self.start_move("late", duration_s=LONG_MOVE_S)
        async with self.load("late") as load:
            await load.wait_answers(600)
            self.assertEqual(set(await self.states("late")), {"running"})
            await self.cluster.upstreams.update_settings(
                FAIL, index="late", version=NEW
            )
            await self.check_remains_taken_back(
                load, "late", "fails more often on search"
            )
        self.check_answers(load)

    async def test_fails_only_under_load(self) -> None:
        """Guard against a version that passes its canary because the load is low."""
        fault = {"fault": {"mode": "fail", "above_in_progress": 1}}
        await self.cluster.upstreams.update_settings(fault, index="loaded", version=NEW)
        await self.start_move("loaded", duration_s=LONG_MOVE_S)
        # A single caller never has two requests in progress at a leaf.
        async with self.load("loaded", callers=1) as load:
            await self.wait_new_leaves_warm("loaded")
            self.assertEqual(set(await self.states("loaded")), {"running"})
        self.check_answers(load)
        async with self.load("loaded", callers=24) as load:
            await self.check_remains_taken_back(
                load, "loaded", "fails more often on search"
            )
        self.check_answers(load)

    async def test_fails_on_one_route(self) -> None:
        """Guard against a fault that good answers of another route outweigh."""
        fault = {"fault": {"mode": "fail", "route": "lookup"}}
        await self.cluster.upstreams.update_settings(fault, index="route", version=NEW)
        await self.start_move("route", duration_s=LONG_MOVE_S)
        async with self.load("route") as load, self.lookups("route"):
            await self.wait_state("route", "taken_back")
            await self.check_lookup_canary("route")
            reason = "fails more often on lookup"
            await self.check_remains_taken_back(load, "route", reason)
            looked_up = await self.received("lookup", index="route", version=NEW)
            self.assertEqual(looked_up, 0)
        self.check_answers(load)

    async def test_slows_down_later(self) -> None:
        """Guard against a version whose answers are correct but late."""
        slow = {"fault": {"mode": "slow", "slow_factor": 8.0}}
        await self.start_move("slower", duration_s=LONG_MOVE_S)
        async with self.load("slower") as load:
            await load.wait_answers(400)
            self.assertEqual(set(await self.states("slower")), {"running"})
            await self.cluster.upstreams.update_settings(
                slow, index="slower", version=NEW
            )
            await self.check_remains_taken_back(load, "slower", "is slower on search")
        self.check_answers(load)
