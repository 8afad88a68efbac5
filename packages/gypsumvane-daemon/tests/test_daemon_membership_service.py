"""Tests of the membership with real peer connections and a fake store."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fake_service import kernel_of
from gypsumvane_core.authority_grade import AuthorityGrade
from gypsumvane_core.life_cycle import LifeState
from gypsumvane_core.view import VIEW_KEY
from gypsumvane_daemon.store_objects import StoredObject
from membership_fakes import FakeLiveList
from membership_fakes import SharedObjects
from membership_fakes import TestDaemon
from waiting import WAIT_TIMEOUT_S
from waiting import wait_until

LEAVES = [f"stock-{service:02}-{leaf}" for service in range(10) for leaf in "ab"]


class MembershipServiceTest(unittest.IsolatedAsyncioTestCase):
    """Check that daemons form views and hand leaves over."""

    async def asyncSetUp(self) -> None:
        self.shared = SharedObjects()
        self.live_list = FakeLiveList()
        await self.live_list.start()
        self.live_list.set("vm-1", "vm-2", "vm-3")
        self.daemons: list[TestDaemon] = []

    async def asyncTearDown(self) -> None:
        for daemon in self.daemons:
            await daemon.stop()
        await self.live_list.stop()

    async def start(self, vm_id: str) -> TestDaemon:
        daemon = self.make(vm_id, [d.identity.peer_address for d in self.daemons])
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    def make(self, vm_id: str, seeds: list[str]) -> TestDaemon:
        return TestDaemon(
            vm_id, shared=self.shared, live_list=self.live_list.address, seeds=seeds
        )

    async def start_three(self) -> None:
        for vm_id in ("vm-1", "vm-2", "vm-3"):
            await self.start(vm_id)
        await wait_until(self.all_served)

    def all_served(self) -> bool:
        """Return whether every leaf has one daemon with full authority."""
        return all(
            self.holders(leaf, AuthorityGrade.FULL) == 1 for leaf in LEAVES
        ) and all(
            len(d.membership.live_members()) == len(self.daemons) for d in self.daemons
        )

    def holders(self, leaf: str, grade: AuthorityGrade) -> int:
        return sum(d.membership.grade(leaf) is grade for d in self.daemons)

    async def kill(self, daemon: TestDaemon) -> None:
        self.daemons.remove(daemon)
        await daemon.stop()

    async def test_daemons_form_a_view_and_share_the_leaves(self) -> None:
        """Guard against leaves without a home after the start of the fleet."""
        await self.start_three()
        for leaf in LEAVES:
            homes = {d.membership.home_of(leaf) for d in self.daemons}
            self.assertEqual(len(homes), 1)
        for first, second in zip(LEAVES[::2], LEAVES[1::2], strict=True):
            service = self.daemons[0].membership
            self.assertNotEqual(service.home_of(first), service.home_of(second))

    async def test_daemons_that_start_at_once_agree_on_one_view(self) -> None:
        """Guard against two initial views of daemons that start concurrently."""
        for number in range(1, 4):
            # Without seeds they find each other through the stored view.
            self.daemons.append(self.make(f"vm-{number}", seeds=[]))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await wait_until(self.all_served)

    async def test_unresponsive_sponsor_does_not_block_joining(self) -> None:
        """Guard against a daemon that asks only a sponsor that never answers."""
        first = await self.start("vm-1")
        silent = TestDaemon(
            "vm-0", shared=self.shared, live_list=self.live_list.address, seeds=[]
        )
        kernel = kernel_of(silent.metrics, silent.network)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        addresses = [silent.identity.peer_address, first.identity.peer_address]
        second = self.make("vm-2", addresses)
        await second.start()
        self.daemons.append(second)
        await wait_until(self.all_served)

    async def test_homes_stay_full_without_the_store(self) -> None:
        """Guard against an outage of the store that halves all limits."""
        await self.start_three()
        self.shared.up = False
        states = [d.membership.state for d in self.daemons]
        await wait_until(lambda: not any(s.store_confirmed() for s in states))
        await wait_until(self.all_served)

    async def test_successor_of_a_gone_home_is_full_without_the_store(self) -> None:
        """Guard against leaves without a home until the store is back."""
        await self.start_three()
        self.shared.up = False
        await self.kill(self.daemons[2])
        self.live_list.set("vm-1", "vm-2")
        await wait_until(self.all_served)

    async def test_unresponsive_home_is_replaced_with_half(self) -> None:
        """Guard against full authority while the former home may be active."""
        await self.start_three()
        lost = [x for x in LEAVES if self.daemons[0].membership.home_of(x) == "vm-3"]
        await self.kill(self.daemons[2])
        await wait_until(
            lambda: all(self.holders(x, AuthorityGrade.HALF) == 1 for x in lost)
        )
        self.assertTrue(all(self.holders(x, AuthorityGrade.FULL) == 0 for x in lost))
        self.live_list.set("vm-1", "vm-2")
        await wait_until(self.all_served)

    async def test_restarted_process_replaces_its_former_incarnation(self) -> None:
        """Guard against waiting for the live list after a quick restart."""
        await self.start_three()
        await self.kill(self.daemons[2])
        await self.start("vm-3")
        await wait_until(self.all_served)
        view = self.daemons[0].membership.view
        assert view is not None
        self.assertEqual(len(view.members), 3)

    async def test_fresh_daemons_take_over_an_old_view(self) -> None:
        """Guard against a stored view that blocks a fresh set of daemons."""
        await self.start_three()
        for daemon in list(self.daemons):
            await self.kill(daemon)
        self.live_list.set("vm-4", "vm-5")
        await self.start("vm-4")
        await self.start("vm-5")
        await wait_until(self.all_served)

    async def test_lost_write_answer_withholds_promises_until_read_back(self) -> None:
        """Guard against a promise while an own write may still be applied."""
        await self.start_three()
        self.shared.lose_next_answer = True
        await self.start("vm-4")
        await wait_until(self.all_served)
        for daemon in self.daemons:
            promises = daemon.membership.state.promises
            await wait_until(lambda p=promises: p.unresolved_version is None)

    async def test_leaving_hands_over_before_it_stops(self) -> None:
        """Guard against an acknowledgement while a call is in progress."""
        await self.start_three()
        leaving = self.daemons[2]
        busy = next(
            x for x in LEAVES if leaving.membership.home_of(x) == leaving.identity.vm_id
        )
        calls = {busy}
        leaving.membership.set_release_check(lambda leaf: leaf not in calls)
        leaving.membership.begin_leaving()
        first = self.daemons[0].membership
        await wait_until(lambda: first.home_of(busy) != "vm-3")
        for daemon in self.daemons[:2]:
            self.assertIsNot(daemon.membership.grade(busy), AuthorityGrade.FULL)
        # The view may reach the leaving daemon last; it is home until then.
        await wait_until(lambda: leaving.membership.home_of(busy) != "vm-3")
        self.assertEqual(self.holders(busy, AuthorityGrade.FULL), 0)
        self.assertFalse(leaving.membership.handed_over())
        calls.clear()
        await leaving.lifecycle.leave()
        self.assertIs(leaving.lifecycle.state, LifeState.STOPPING)
        self.assertFalse(leaving.lifecycle.serving)
        await self.kill(leaving)
        await wait_until(self.all_served)

    async def test_daemons_that_all_leave_stay_homes_until_they_end(self) -> None:
        """Guard against requests without a home while the fleet stops."""
        await self.start_three()
        for daemon in self.daemons:
            daemon.membership.begin_leaving()
        await wait_until(lambda: all(d.membership.handed_over() for d in self.daemons))
        await wait_until(self.all_served)
        await asyncio.gather(*(daemon.lifecycle.leave() for daemon in self.daemons))

    async def test_last_daemon_stops_after_the_lists_that_name_it(self) -> None:
        """Guard against a stop while a caller caches a list with the daemon.

        The last member that left during a store outage listed itself until it
        stopped.
        """
        last = await self.start("vm-1")
        await wait_until(lambda: last.membership.can_serve())
        await wait_until(lambda: last.lifecycle.serving)
        self.shared.up = False
        states = last.membership.state
        await wait_until(lambda: not states.store_confirmed())
        leaving = asyncio.create_task(last.lifecycle.leave())
        keep_s = last.identity.settings.entry.keep_ms / 1000
        for _ in range(10):
            entry = last.membership.entry_addresses("fd-a")
            self.assertEqual(entry.addresses, (last.identity.caller_address,))
            await asyncio.sleep(keep_s / 2)
        self.assertFalse(leaving.done())
        self.shared.up = True
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while last.membership.entry_addresses("fd-a").addresses:
                listed_s = asyncio.get_running_loop().time()
                await asyncio.sleep(0.002)
        await leaving
        ended_s = asyncio.get_running_loop().time()
        self.assertGreaterEqual(ended_s - listed_s, keep_s)

    async def test_unresponsive_peer_does_not_fail_a_planned_stop(self) -> None:
        """Guard against an error at the end of a stop when a peer does not answer."""
        await self.start_three()
        leaving = self.daemons[2]
        limit = "gypsumvane_daemon.heartbeat_exchange.FINAL_HEARTBEAT_TIMEOUT_S"
        silent = mock.AsyncMock(side_effect=lambda *_, **__: asyncio.sleep(60))
        with (
            mock.patch.object(leaving.network, "request", silent),
            mock.patch(limit, 0.01),
        ):
            await leaving.membership.announce_end()
        self.assertTrue(silent.await_count)

    async def test_leaving_daemon_is_not_in_entry_addresses(self) -> None:
        """Guard against callers that are sent to a leaving daemon."""
        await self.start_three()
        first = self.daemons[0].membership
        # A member is listed once its heartbeat has said that it serves.
        await wait_until(lambda: len(first.entry_addresses("fd-a").addresses) == 3)
        self.daemons[1].membership.begin_leaving()
        await wait_until(lambda: len(first.entry_addresses("fd-a").addresses) == 2)

    async def test_member_that_does_not_serve_is_not_listed(self) -> None:
        """Guard against callers that are sent to a daemon before it serves."""
        await self.start_three()
        first = self.daemons[0].membership
        await wait_until(lambda: len(first.entry_addresses("fd-a").addresses) == 3)
        self.daemons[1].membership.set_ready_check(lambda: False)
        await wait_until(lambda: len(first.entry_addresses("fd-a").addresses) == 2)
        self.daemons[1].membership.set_ready_check(lambda: True)
        await wait_until(lambda: len(first.entry_addresses("fd-a").addresses) == 3)

    async def test_unreadable_view_is_not_confirmed(self) -> None:
        """Guard against authority from a view that this version cannot decode."""
        await self.start_three()
        version = self.shared.objects[VIEW_KEY].version + 1
        self.shared.objects[VIEW_KEY] = StoredObject(VIEW_KEY, b"{}", version)
        states = [d.membership.state for d in self.daemons]
        await wait_until(lambda: not any(s.store_confirmed() for s in states))
