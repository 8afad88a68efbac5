"""Tests of claim bucket leases: NOT_RUN from a home without store access."""

from __future__ import annotations

import asyncio
import unittest

from booking_fleet import Fleet
from booking_fleet import virtual_loop
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

OTHERS = {"vm-2", "vm-3"}


class ClaimLeaseTest(unittest.TestCase):
    """Check the transfer of buckets between homes, in virtual time."""

    def setUp(self) -> None:
        self.loop = virtual_loop()
        self.fleet = Fleet()
        self.environment = self.fleet.environment
        self.loop.run_until_complete(self.fleet.start("vm-1", "vm-2", "vm-3"))
        self.pass_time(1.0)

    def tearDown(self) -> None:
        self.loop.run_until_complete(self.fleet.stop())
        self.loop.close()

    def pass_time(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def isolate_vm_1(self, *, home: str) -> None:
        """Make vm-1 act as home without store access while another VM is the home."""
        self.environment.cut_off = {"vm-1"}
        self.fleet.daemons["vm-1"].membership.own_homes = {"*": "vm-1"}
        self.environment.homes["*"] = home

    def begin(self, vm_id: str, key: str) -> asyncio.Task[object]:
        """Start a booking with a long deadline."""
        work = self.fleet.book(vm_id, key, left_ms=6000)
        return self.loop.create_task(work)

    def assert_truthful_answer(self, vm_id: str, key: str) -> None:
        """Book and check that NOT_RUN is only returned for a key without a run."""
        outcome = self.loop.run_until_complete(self.fleet.book(vm_id, key))
        if outcome.verdict is Verdict.NOT_RUN:
            self.assertEqual(self.environment.runs[key], 0)

    def test_long_outage_still_refuses_as_not_run(self) -> None:
        """Guard against MAY_HAVE_RUN for keys that certainly did not run."""
        self.environment.cut_off = {"vm-1"} | OTHERS
        self.pass_time(60.0)
        outcome = self.loop.run_until_complete(self.fleet.book("vm-2", "key-1"))
        self.assertEqual(outcome, Refused(Reason.STORE_UNAVAILABLE))

    def test_new_owner_waits_for_the_former_lease(self) -> None:
        """Guard against a run while another home answers NOT_RUN."""
        self.isolate_vm_1(home="vm-2")
        self.pass_time(0.8)
        task = self.begin("vm-2", "key-1")
        self.pass_time(0.1)
        self.assert_truthful_answer("vm-1", "key-1")
        self.loop.run_until_complete(task)
        self.assertEqual(self.environment.runs["key-1"], 1)
        self.assert_truthful_answer("vm-1", "key-1")

    def test_former_owner_hands_its_lease_over(self) -> None:
        """Guard against bookings refused until the lease of a live owner expires."""
        # The former owner cannot give the bucket up in the store.
        self.environment.cut_off = {"vm-1"}
        self.environment.homes["*"] = "vm-2"
        self.pass_time(0.6)
        outcome = self.loop.run_until_complete(self.fleet.book("vm-2", "key-1"))
        self.assertIsInstance(outcome, Completed)
        self.assert_truthful_answer("vm-1", "key-1")

    def test_handover_fences_a_late_answer_of_the_store(self) -> None:
        """Guard against a lease renewed by an answer from before the handover."""
        ledger = self.fleet.daemons["vm-1"].bookings._claimed_runs.ledgers[0]
        self.assertTrue(ledger.owned)
        self.assertTrue(ledger.grant_lease(ledger.version + 1))
        self.assertFalse(ledger.owned)
        # The answer to a write that preceded the other owner's write.
        ledger._update_lease(former=ledger._owner, sent_at_s=self.loop.time())
        self.assertFalse(ledger.owned)
        ledger.renew_lease(self.loop.time())
        self.assertFalse(ledger.owned)

    def test_outdated_consent_is_no_handover(self) -> None:
        """Guard against consent from before the former owner regained the bucket."""
        self.isolate_vm_1(home="vm-2")
        self.pass_time(0.8)
        ledger = self.fleet.daemons["vm-2"].bookings._claimed_runs.ledgers[0]
        former = ledger._bucket.former_owners[0]
        ledger.record_release(former, ledger._owner_since_version - 1)
        self.assertGreater(ledger.send_not_before_s, self.loop.time())
        ledger.record_release(former, ledger._owner_since_version)
        self.assertLessEqual(ledger.send_not_before_s, self.loop.time())

    def test_new_owner_waits_for_a_former_one_without_consent(self) -> None:
        """Guard against a handover by a daemon that still acts as home."""
        self.isolate_vm_1(home="vm-2")
        self.pass_time(0.8)
        outcome = self.loop.run_until_complete(self.fleet.book("vm-2", "key-1"))
        self.assertEqual(outcome, Refused(Reason.DEADLINE))
        self.assertEqual(self.environment.runs["key-1"], 0)

    def test_booking_waits_for_the_store(self) -> None:
        """Guard against refusals during an outage that ends within the deadline."""
        self.environment.cut_off = {"vm-1"} | OTHERS
        task = self.begin("vm-2", "key-1")
        self.pass_time(1.0)
        self.assertFalse(task.done())
        self.environment.cut_off = set()
        outcome = self.loop.run_until_complete(task)
        self.assertIsInstance(outcome, Completed)
        self.assertEqual(self.environment.runs["key-1"], 1)

    def test_lost_home_is_retried_and_never_not_run(self) -> None:
        """Guard against NOT_RUN or a second run when a forwarded request is lost."""
        self.environment.faults["peer"] = ["lost"]
        ran = self.loop.run_until_complete(self.fleet.book("vm-2", "key-1"))
        self.assertEqual(ran.verdict, Verdict.RAN)
        self.assertEqual(self.environment.runs["key-1"], 1)
        self.environment.faults["peer"] = ["lost"] + ["unsent"] * 100
        self.environment.faults["leaf"] = ["not_run"] * 2
        other = self.loop.run_until_complete(self.fleet.book("vm-2", "key-2"))
        self.assertEqual(other.verdict, Verdict.MAY_HAVE_RUN)

    def test_owner_remembers_all_former_owners(self) -> None:
        """Guard against a short-lived owner that hides the owner before it."""
        self.isolate_vm_1(home="vm-2")
        self.pass_time(0.6)
        self.loop.run_until_complete(self.fleet.kill("vm-2"))
        self.loop.run_until_complete(self.fleet.start("vm-2"))
        self.environment.homes["*"] = "vm-3"
        self.pass_time(0.6)
        task = self.begin("vm-3", "key-1")
        self.pass_time(0.1)
        self.assert_truthful_answer("vm-1", "key-1")
        self.loop.run_until_complete(task)

    def test_expired_lease_is_not_renewed(self) -> None:
        """Guard against a stale copy that becomes valid again after a pause."""
        self.isolate_vm_1(home="vm-2")
        self.pass_time(5.0)
        self.loop.run_until_complete(self.begin("vm-2", "key-1"))
        self.assertEqual(self.environment.runs["key-1"], 1)
        self.environment.homes["*"] = "vm-1"
        self.pass_time(2.0)
        self.assert_truthful_answer("vm-1", "key-1")

    def test_lost_reply_of_the_home_is_never_not_run(self) -> None:
        """Guard against NOT_RUN while the home may still run the request."""
        self.environment.paused["vm-1"] = asyncio.Event()
        outcome = self.loop.run_until_complete(self.fleet.book("vm-2", "key-1"))
        self.assertEqual(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.fleet.resume()
        self.pass_time(3.0)
        self.assertEqual(self.environment.runs["key-1"], 1)

    def test_reserved_key_of_a_former_process_on_the_same_vm(self) -> None:
        """Guard against NOT_RUN from a restarted daemon for a key that has run."""
        key = self.fleet.daemons["vm-3"].bookings.reserve(1)[0]
        self.loop.run_until_complete(self.fleet.book("vm-2", key))
        self.loop.run_until_complete(self.fleet.kill("vm-3"))
        self.loop.run_until_complete(self.fleet.start("vm-3"))
        for vm_id in ("vm-1", "vm-3"):
            self.assert_truthful_answer(vm_id, key)
        self.assertEqual(self.environment.runs[key], 1)

    def test_late_release_ends_no_newer_ownership(self) -> None:
        """Guard against a delayed write that releases a bucket that is in use."""
        self.environment.faults["put"] = ["late"] * 8
        vm_1 = self.fleet.daemons["vm-1"].membership
        vm_1.own_homes = {"*": "vm-2"}
        self.pass_time(0.55)
        self.assertEqual(self.environment.faults["put"], [])
        vm_1.own_homes = None
        self.pass_time(1.3)
        self.isolate_vm_1(home="vm-2")
        self.pass_time(0.6)
        task = self.begin("vm-2", "key-1")
        self.pass_time(0.1)
        self.assert_truthful_answer("vm-1", "key-1")
        self.loop.run_until_complete(task)
