"""Tests of bookings over real peer connections."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from booking_fleet import Fleet
from gypsumvane_core.messages import BookingRequest
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict


class BookingServiceTest(unittest.IsolatedAsyncioTestCase):
    """Check bookings of three daemons that share a store."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(real_peers=True)
        self.environment = self.fleet.environment
        await self.fleet.start("vm-1", "vm-2", "vm-3")
        self.environment.homes["leaf-b"] = "vm-3"

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def test_repeat_through_another_daemon_replays(self) -> None:
        """Guard against a second run of a key that ran."""
        first = await self.fleet.book("vm-2", "key-1")
        again = await self.fleet.book("vm-3", "key-1")
        self.assertEqual(first, Completed(200, b"run 1 of key-1"))
        self.assertEqual(again, Completed(200, b"run 1 of key-1", replayed=True))
        self.assertEqual(self.environment.runs["key-1"], 1)

    async def test_simultaneous_tries_run_once(self) -> None:
        """Guard against two runs of a key sent through two daemons at once."""
        outcomes = await asyncio.gather(
            *(self.fleet.book(vm, "key-1") for vm in ("vm-1", "vm-2", "vm-3"))
        )
        verdicts = sorted(outcome.verdict for outcome in outcomes)
        self.assertEqual(self.environment.runs["key-1"], 1)
        self.assertEqual(verdicts, ["may_have_run", "may_have_run", "ran"])

    async def test_two_homes_run_a_key_once(self) -> None:
        """Guard against a second run when two daemons both act as the home of a key."""
        for vm_id in ("vm-1", "vm-2"):
            self.fleet.daemons[vm_id].membership.own_homes = {"*": vm_id}
        await asyncio.gather(
            *(
                self.fleet.book(vm_id, f"key-{number}")
                for vm_id in ("vm-1", "vm-2")
                for number in range(20)
            )
        )
        self.assertLessEqual(max(self.environment.runs.values(), default=0), 1)

    async def test_other_leaf_after_a_refusal(self) -> None:
        """Guard against a booking that fails because one leaf sheds load."""
        self.environment.faults["leaf"] = ["not_run"]
        outcome = await self.fleet.book("vm-2", "key-1")
        self.assertIsInstance(outcome, Completed)

    async def test_named_service_decides(self) -> None:
        """Guard against a booking at a service that does not hold the record."""
        unknown = await self.fleet.book("vm-2", "key-1", service="elsewhere")
        self.assertEqual(unknown, Refused(Reason.UNKNOWN_SERVICE))
        self.assertEqual(self.environment.runs["key-1"], 0)

    async def test_refusal_never_denies_an_earlier_run(self) -> None:
        """Guard against NOT_RUN from admission for a key that has run before."""
        bookings = self.fleet.daemons["vm-3"].bookings
        fresh = BookingRequest(key="key-2", index="ledger", route="run", body=b"{}")
        ran = replace(fresh, key="key-1")
        await self.fleet.book("vm-2", "key-1")
        refused = await bookings.refuse(fresh, Reason.QUEUE_FULL)
        self.assertEqual(refused, Refused(Reason.QUEUE_FULL))
        repeated = await bookings.refuse(ran, Reason.QUEUE_FULL)
        # The record of the run may not have reached the store yet.
        self.assertIsNot(repeated.verdict, Verdict.NOT_RUN)
        self.environment.cut_off = {"vm-1", "vm-2", "vm-3"}
        unknown = await bookings.refuse(ran, Reason.QUEUE_FULL)
        self.assertEqual(unknown.verdict, Verdict.MAY_HAVE_RUN)

    async def test_key_is_free_after_all_leaves_refused(self) -> None:
        """Guard against a claim that blocks a key which never ran."""
        self.environment.faults["leaf"] = ["not_run"] * 2
        refused = await self.fleet.book("vm-2", "key-1")
        self.assertEqual(refused, Refused(Reason.UPSTREAM_SHED))
        self.assertIsInstance(await self.fleet.book("vm-3", "key-1"), Completed)

    async def test_other_body_is_refused(self) -> None:
        """Guard against a recorded result that is returned for another request."""
        await self.fleet.book("vm-2", "key-1")
        other = await self.fleet.book("vm-2", "key-1", body=b'{"a": 1}')
        self.assertEqual(other, Refused(Reason.KEY_REUSED))

    async def test_lost_leaf_answer_is_never_tried_again(self) -> None:
        """Guard against a retry of a request that may have run."""
        self.environment.faults["leaf"] = ["lost"]
        first = await self.fleet.book("vm-2", "key-1")
        again = await self.fleet.book("vm-3", "key-1")
        self.assertEqual(first.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(again, Failed(Reason.KEY_UNRESOLVED, Verdict.MAY_HAVE_RUN))
        self.assertEqual(self.environment.runs["key-1"], 1)

    async def test_store_down_before_the_claim(self) -> None:
        """Guard against runs without a claim, and keys blocked after an outage."""
        await self.fleet.book("vm-2", "key-0")
        self.environment.cut_off = {"vm-1", "vm-2", "vm-3"}
        outcome = await self.fleet.book("vm-2", "key-0b")
        self.assertNotEqual(outcome.verdict, Verdict.RAN)
        self.environment.cut_off = set()
        self.assertIsInstance(await self.fleet.book("vm-2", "key-0b"), Completed)

    async def test_reserved_key_runs_while_the_store_is_down(self) -> None:
        """Guard against bookings with reserved keys that depend on the store."""
        self.environment.cut_off = {"vm-1", "vm-2", "vm-3"}
        key = self.fleet.daemons["vm-3"].bookings.reserve(1)[0]
        first = await self.fleet.book("vm-2", key)
        again = await self.fleet.book("vm-1", key)
        self.assertEqual(first, Completed(200, f"run 1 of {key}".encode()))
        self.assertEqual(again.verdict, Verdict.RAN)
        self.assertEqual(self.environment.runs[key], 1)

    async def test_reserved_key_after_its_issuer_is_lost(self) -> None:
        """Guard against a second run of a key whose issuer is gone."""
        ran, unused = self.fleet.daemons["vm-3"].bookings.reserve(2)
        await self.fleet.book("vm-2", ran)
        await asyncio.sleep(0.4)
        await self.fleet.kill("vm-3")
        del self.environment.members["vm-3"]
        again = await self.fleet.book("vm-2", ran)
        self.assertEqual(
            again, Completed(200, f"run 1 of {ran}".encode(), replayed=True)
        )
        other = await self.fleet.book("vm-2", unused)
        self.assertEqual(other, Failed(Reason.KEY_UNRESOLVED, Verdict.MAY_HAVE_RUN))
