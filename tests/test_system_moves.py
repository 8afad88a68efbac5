"""Moves to good versions complete; moves to bad versions are taken back for good."""

from __future__ import annotations

import math
import time
from typing import Any

from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase
from tests.system_case import three_domain_plan

OLD = "v1"
NEW = "v2"
CANARY_SHARE = 0.1
MOVE_DURATION_S = 10.0
FAIL = {"fault": {"mode": "fail"}}
SLOW = {"fault": {"mode": "slow", "slow_factor": 20.0}}


def index_plan(name: str) -> IndexPlan:
    """Return an index with leaves of both versions."""
    return IndexPlan(name=name, services=2, replicas=2, new_replicas=2)


class MoveCase(SystemCase):
    """Base class of tests that move indexes to a new version under load."""

    async def start_move(
        self, index: str, *, duration_s: float = MOVE_DURATION_S
    ) -> None:
        """Start a move now and wait until every daemon applies it."""
        body = self.start_body(index, duration_s)
        path = f"/v1/moves/{index}/start"
        reply = await self.cluster.operator_request("POST", path, body)
        self.assertEqual(reply.status, 200, reply.values)
        await self.wait_in_force(f"move/{index}", reply.values["revision"])

    def start_body(self, index: str, duration_s: float) -> dict[str, Any]:
        """Return the request that starts a move now."""
        now_s = time.time()
        return {
            "change_id": f"start-{index}",
            "reason": "test of a version move",
            "move_id": f"move-{index}",
            "from_version": OLD,
            "to_version": NEW,
            "start_unix_s": now_s,
            "complete_by_unix_s": now_s + duration_s,
            "canary_share": CANARY_SHARE,
        }

    async def current_versions(self, index: str) -> set[str]:
        """Return the current version at each running daemon."""
        name = f"index/{index}"
        numbers = self.running()
        found = [await self.document(name, daemon=number) for number in numbers]
        return {values["body"]["current_version"] for values in found}

    async def move(self, index: str, daemon: int) -> dict[str, Any]:
        """Return a move as one daemon sees it."""
        path = f"/v1/moves/{index}"
        return (await self.cluster.operator_request("GET", path, daemon=daemon)).values

    async def states(self, index: str) -> list[str]:
        """Return the state that each running daemon applies."""
        found = [await self.move(index, number) for number in self.running()]
        return [values["status"]["state"] for values in found]

    async def wait_state(self, index: str, state: str) -> None:
        """Wait until every running daemon applies a state."""

        async def applied() -> bool:
            return set(await self.states(index)) == {state}

        await self.until(applied, f"the move of {index} is {state} everywhere")

    async def wait_recorded(self, index: str, state: str) -> None:
        """Wait until the document in the store holds a state."""

        async def recorded() -> bool:
            path = f"/v1/objects/config/documents/move/{index}"
            stored = await self.cluster.store.get(path)
            return bool(stored["body"]["state"] == state)

        await self.until(recorded, f"the stored move of {index} is {state}")

    async def check_no_new_work(self, load: Any, index: str, version: str) -> None:
        """Check that a version receives no new work."""
        await load.wait_earlier_requests()
        await self.cluster.upstreams.perform_action(
            "reset_counters", index=index, version=version
        )
        await load.wait_answers(100)
        received = await self.received("search", index=index, version=version)
        self.assertEqual(received, 0)

    async def check_canary(self, index: str) -> None:
        """Check that the new version received at most its canary share.

        Each request picks a version at random, so that the bound is the mean plus
        six standard deviations; hedges add a tenth.
        """
        new = await self.received("search", index=index, version=NEW)
        old = await self.received("search", index=index, version=OLD)
        queries = (new + old) / 2
        mean = CANARY_SHARE * queries
        bound = 2 * 1.1 * (mean + 6 * math.sqrt(mean + 1))
        self.assertLessEqual(new, bound, (new, old))


class MoveTest(MoveCase):
    """Check single moves."""

    plan = three_domain_plan(
        *map(index_plan, ("good", "waits", "fails", "slow", "later"))
    )

    async def test_good_version(self) -> None:
        """Guard against a good version that is taken back or never completed."""
        await self.start_move("good")
        await self.cluster.upstreams.perform_action(
            "restart", index="good", version=NEW
        )
        async with self.load("good") as load:
            await self.wait_recorded("good", "done")
            for number in self.running():
                values = await self.move("good", number)
                for vm_id, share in values["status"]["applied"].items():
                    self.assertEqual(share, 1.0, (number, vm_id))
            await self.wait_state("good", "done")
            self.assertEqual(await self.current_versions("good"), {NEW})
            await self.check_no_new_work(load, "good", OLD)
        self.check_answers(load)
        self.assertEqual(load.outcomes["failed"], 0)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_new_leaves_wait_for_their_move(self) -> None:
        """Guard against work for leaves of a new version before its move (R5)."""
        async with self.load("waits") as load:
            await load.wait_complete()
            await self.check_no_new_work(load, "waits", NEW)
            body = {**self.start_body("waits", 600.0), "from_version": "v0"}
            path = "/v1/moves/waits/start"
            reply = await self.cluster.operator_request("POST", path, body)
            self.assertEqual(reply.status, 400, reply.values)
            self.assertIn("current version of waits, which is v1", str(reply.values))
        self.check_answers(load)

    async def test_version_that_fails_at_once(self) -> None:
        """Guard against traffic for a version that fails (R5)."""
        await self.cluster.upstreams.update_settings(FAIL, index="fails", version=NEW)
        # Long enough that the share does not rise before the fault is detected.
        await self.start_move("fails", duration_s=600.0)
        async with self.load("fails") as load:
            await self.wait_state("fails", "taken_back")
            await self.check_canary("fails")
            await self.check_no_new_work(load, "fails", NEW)
            await self.wait_recorded("fails", "taken_back")
            # Neither a restarted daemon nor a repaired version resumes the move.
            await self.cluster.upstreams.update_settings(
                {"fault": {"mode": "none"}}, index="fails", version=NEW
            )
            await self.cluster.kill_daemon(2, vm_lost=True)
            await self.cluster.store.post("/control/outage", on=True)
            await self.cluster.start_daemon(2)
            await self.check_no_new_work(load, "fails", NEW)
            await self.cluster.store.post("/control/outage", on=False)
            await self.wait_converged()
            await self.check_no_new_work(load, "fails", NEW)
            await self.wait_state("fails", "taken_back")
        self.check_answers(load)

    async def test_version_that_is_slow(self) -> None:
        """Guard against traffic for a version that answers slowly (R5)."""
        await self.cluster.upstreams.update_settings(SLOW, index="slow", version=NEW)
        await self.start_move("slow", duration_s=600.0)
        async with self.load("slow") as load:
            await self.wait_state("slow", "taken_back")
            await self.check_canary("slow")
            await self.check_no_new_work(load, "slow", NEW)
            await self.wait_recorded("slow", "taken_back")
            self.assertEqual(await self.current_versions("slow"), {OLD})
        self.check_answers(load)

    async def test_version_that_fails_later(self) -> None:
        """Guard against a version that fails only while its share rises (R5)."""
        await self.start_move("later", duration_s=40.0)
        async with self.load("later") as load:

            async def rises() -> bool:
                values = await self.move("later", 0)
                return bool(values["status"]["share"] > 2 * CANARY_SHARE)

            await self.until(rises, "the share rises")
            await self.cluster.store.post("/control/outage", on=True)
            await self.cluster.upstreams.update_settings(
                FAIL, index="later", version=NEW
            )
            await self.wait_state("later", "taken_back")
            await self.check_no_new_work(load, "later", NEW)
            await self.cluster.store.post("/control/outage", on=False)
            await self.wait_recorded("later", "taken_back")
        self.check_answers(load)


class MoveFaultTest(MoveCase):
    """Check moves during other faults."""

    plan = ClusterPlan(
        indexes=[index_plan(name) for name in ("outage", "domain", "operator")],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
    )

    async def test_store_down_in_the_middle(self) -> None:
        """Guard against a move that an outage stops or ends wrongly."""
        await self.start_move("outage")
        async with self.load("outage") as load:
            await self.cluster.store.post("/control/outage", on=True)

            async def complete() -> bool:
                found = [await self.move("outage", n) for n in self.running()]
                return all(values["status"]["share"] == 1.0 for values in found)

            await self.until(complete, "the share is 1 on every daemon")
            self.assertNotIn("taken_back", await self.states("outage"))
            await self.check_no_new_work(load, "outage", OLD)
            await self.cluster.store.post("/control/outage", on=False)
            await self.wait_state("outage", "done")
            self.assertEqual(await self.current_versions("outage"), {NEW})
            await self.check_no_new_work(load, "outage", OLD)
        self.check_answers(load)

    async def test_failure_domain_out_during_a_move(self) -> None:
        """Guard against work in a domain that is taken out during a move (R4, R5)."""
        await self.start_move("domain", duration_s=15.0)
        async with self.load("domain") as load:
            await load.wait_answers(20)
            revision = await self.change_domain("b", "out", "move-out")
            await self.wait_in_force("domains", revision)
            await load.wait_earlier_requests()
            await self.cluster.upstreams.perform_action("mark_out", failure_domain="b")
            await load.wait_answers(100)
            out = await self.counter_sum("received_while_out", failure_domain="b")
            self.assertEqual(out, 0)
            await self.cluster.upstreams.perform_action("mark_in", failure_domain="b")
            revision = await self.change_domain("b", "in", "move-in")
            await self.wait_in_force("domains", revision)
            await self.wait_state("domain", "done")
            await load.wait_complete()
        self.check_answers(load)
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_operator_takes_a_move_back(self) -> None:
        """Guard against a move that continues after an operator took it back (R5)."""
        await self.start_move("operator", duration_s=600.0)
        async with self.load("operator") as load:
            await load.wait_answers(30)
            body = {"change_id": "back-1", "reason": "test of taking back"}
            path = "/v1/moves/operator/take-back"
            reply = await self.cluster.operator_request("POST", path, body, daemon=2)
            self.assertEqual(reply.status, 200, reply.values)
            await self.wait_state("operator", "taken_back")
            await self.check_no_new_work(load, "operator", NEW)
        self.check_answers(load)
