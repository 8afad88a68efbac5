"""Tests of individual membership rules."""

from __future__ import annotations

import unittest
from dataclasses import replace

from transitions import MachineError

from gypsumvane_core.authority_grade import AuthorityGrade
from gypsumvane_core.clock import ManualClock
from gypsumvane_core.entry_addresses import order_entry_addresses
from gypsumvane_core.life_cycle import LifeCycle
from gypsumvane_core.life_cycle import LifeState
from gypsumvane_core.membership import MembershipState
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import Member
from gypsumvane_core.view import View
from gypsumvane_core.view import decode_view
from gypsumvane_core.view import encode_view
from gypsumvane_core.write_promise import WritePromises


def member(vm_id: str, run: str = "1", *, domain: str = "fd-a") -> Member:
    """Return a member that joined in the first epoch."""
    return Member(
        vm_id=vm_id,
        incarnation=f"{vm_id}#{run}",
        failure_domain=domain,
        caller_address=f"{vm_id}:80",
        joined_epoch=1,
    )


class MembershipRulesTest(unittest.TestCase):
    """Check rules that simulations exercise only rarely."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.own, self.other = member("vm-1"), member("vm-2")
        self.state = MembershipState(own=self.own, clock=self.clock)
        self.view = View(epoch=1, members=(self.own, self.other))
        self.state.adopt(self.view)

    def answer(self, *, sent_s: float, run: str = "1", **fields: int) -> None:
        reply = Heartbeat(incarnation=f"vm-2#{run}", **fields)  # type: ignore[arg-type]
        self.state.receive_reply("vm-2", reply, sent_at_s=sent_s)

    def test_confirmation_of_a_peer_counts_from_the_request(self) -> None:
        """Guard against an age of the confirmation that omits the network latency."""
        sent_s = self.clock.monotonic_s()
        self.clock.advance(1.5)
        self.answer(sent_s=sent_s, epoch=1, confirmation_age_ms=400)
        self.assertTrue(self.state.store_confirmed())
        self.clock.advance(0.1)
        self.assertFalse(self.state.store_confirmed())

    def test_confirmation_of_a_newer_view_does_not_count(self) -> None:
        """Guard against a confirmation of a view that this daemon does not know."""
        now_s = self.clock.monotonic_s()
        self.answer(sent_s=now_s, epoch=2, confirmation_age_ms=0)
        self.assertFalse(self.state.confirmed())

    def test_late_answer_of_an_older_process_is_no_evidence(self) -> None:
        """Guard against a running process that is considered gone."""
        self.answer(sent_s=self.clock.monotonic_s() - 1, run="0")
        self.assertNotIn(self.other.incarnation, self.state.gone)
        self.clock.advance(1)
        self.answer(sent_s=self.clock.monotonic_s(), run="2")
        self.assertIn(self.other.incarnation, self.state.gone)

    def test_answering_member_is_not_gone_by_the_list(self) -> None:
        """Guard against a VM name that the platform assigned to another VM."""
        self.clock.advance(1)
        self.state.apply_listing(1, ["vm-1", "vm-2"], sent_at_s=1001)
        self.answer(sent_s=1001, epoch=1)
        self.assertFalse(self.state.apply_listing(2, ["vm-1"], sent_at_s=1000.5))
        self.assertTrue(self.state.apply_listing(3, ["vm-1"], sent_at_s=1001))

    def test_unlisted_process_that_sent_a_heartbeat_is_not_gone(self) -> None:
        """Guard against a running process that the list does not show yet.

        Under load, a daemon that had been removed from the view considered the
        newest member gone, which could then never join again.
        """
        former = View(epoch=2, members=(self.other,), former=(self.own,))
        self.state.adopt(former)
        self.state.receive(Heartbeat(incarnation=self.other.incarnation, epoch=2))
        self.assertEqual(self._listings_without_other(), [])

    def test_unlisted_process_of_an_old_view_is_gone(self) -> None:
        """Guard against a stored view that prevents a new daemon from joining."""
        self.state.adopt(View(epoch=2, members=(self.other,), former=(self.own,)))
        self.assertEqual(self._listings_without_other(), [self.other.incarnation])

    def _listings_without_other(self) -> list[str]:
        found: list[str] = []
        for listing in range(1, 4):
            self.clock.advance(self.state.times.takeover_wait_s)
            now_s = self.clock.monotonic_s()
            found += self.state.apply_listing(listing, ["vm-1"], sent_at_s=now_s)
        return found

    def test_change_of_homes_is_announced_after_a_grade_query(self) -> None:
        """Guard against a new home that never starts to serve its leaf."""
        self.state.add_gone([self.other.incarnation])
        self.assertFalse(self.state.pop_home_change())
        self.clock.advance(self.state.times.leaf_call_max_s)
        self.state.grade("svc1")
        self.assertTrue(self.state.pop_home_change())
        self.assertFalse(self.state.pop_home_change())

    def test_leaving_daemon_knows_that_it_leaves(self) -> None:
        """Guard against a leaving daemon that lists itself as an entry address."""
        self.assertFalse(self.state.is_leaving(self.own))
        self.state.leaving_since_s = self.clock.monotonic_s()
        self.assertTrue(self.state.is_leaving(self.own))
        self.assertFalse(self.state.is_leaving(self.other))

    def test_skipped_view_ends_full_authority(self) -> None:
        """Guard against a home that missed the view in which it was replaced."""
        leaf = next(f"svc{n}" for n in range(99) if self.is_own_leaf(f"svc{n}"))
        self.answer(sent_s=1000, epoch=1, acknowledged_epoch=1, confirmation_age_ms=0)
        self.assertIs(self.state.grade(leaf), AuthorityGrade.FULL)
        self.state.adopt(replace(self.view, epoch=3))
        self.assertIs(self.state.grade(leaf), AuthorityGrade.NONE)
        self.assertFalse(self.state.acknowledge([]))
        self.assertTrue(self.state.acknowledge([leaf]))

    def test_leaf_that_comes_back_must_be_idle_once(self) -> None:
        """Guard against an acknowledgement that also counts for the view in between."""
        leaf = next(f"svc{n}" for n in range(99) if self.is_own_leaf(f"svc{n}"))
        self.answer(sent_s=1000, epoch=1, acknowledged_epoch=1, confirmation_age_ms=0)
        self.assertIs(self.state.grade(leaf), AuthorityGrade.FULL)
        self.state.adopt(View(epoch=2, members=(self.other,)))
        again = replace(self.own, joined_epoch=3)
        self.state.adopt(View(epoch=3, members=(again, self.other)))
        self.assertTrue(self.is_own_leaf(leaf))
        self.assertFalse(self.state.acknowledge([]))
        self.assertIs(self.state.grade(leaf), AuthorityGrade.NONE)
        self.assertTrue(self.state.acknowledge([leaf]))

    def is_own_leaf(self, leaf: str) -> bool:
        return self.state.home_of(leaf) == "vm-1"

    def test_promise_is_withheld_while_a_write_may_take_effect(self) -> None:
        """Guard against a promise that a write with a lost answer breaks."""
        promises = WritePromises(validity_s=2)
        self.assertTrue(promises.grant(10))
        promises.begin_write()
        self.assertFalse(promises.grant(11))
        self.assertEqual(promises.wait_s(11), 1)
        promises.record_lost_answer(5)
        promises.end_write()
        promises.record_version(5)
        self.assertFalse(promises.grant(20))
        promises.record_version(6)
        self.assertTrue(promises.grant(20))

    def test_halves_never_exceed_the_limit(self) -> None:
        """Guard against two halves that are both rounded up."""
        for limit in range(20):
            half = AuthorityGrade.HALF.allowance(limit)
            unconfirmed = AuthorityGrade.UNCONFIRMED.allowance(limit)
            self.assertEqual(half + unconfirmed, limit)

    def test_stored_view_round_trips(self) -> None:
        """Guard against a stored view that loses a field."""
        view = replace(
            self.view, former=(member("vm-3"),), out_domains=frozenset({"fd-b"})
        )
        self.assertEqual(decode_view(encode_view(view)), view)
        for value in (b"", b"{}", b"[]", b'{"epoch": 1}', b"\xff"):
            with self.assertRaises(ValueError):
                decode_view(value)

    def test_entry_addresses_prefer_the_domain_and_omit_the_leaving(self) -> None:
        """Guard against callers that are sent to leaving or distant daemons."""
        members = [member(f"vm-{n}", domain="fd-ab"[: 4 + n % 2]) for n in range(6)]
        members[0].leaving = True
        for shuffle_key in ("1", "2", "3"):
            listed = order_entry_addresses(
                members,
                failure_domain="fd-ab",
                out_domains=(),
                shuffle_key=shuffle_key,
                keep_s=10,
            )
            self.assertEqual(
                set(listed.addresses[:3]), {"vm-1:80", "vm-3:80", "vm-5:80"}
            )
            self.assertEqual(len(listed.addresses), 5)

    def test_life_cycle_refuses_undefined_transitions(self) -> None:
        """Guard against a daemon that serves again after its graceful stop."""
        states: list[LifeState] = []
        cycle = LifeCycle(states.append)
        for trigger in ("join", "serve", "leave", "finish", "end"):
            cycle.apply(trigger)
        self.assertEqual(states, list(LifeState)[1:])
        for trigger in ("join", "serve", "leave", "finish", "end"):
            with self.assertRaises(MachineError):
                cycle.apply(trigger)
