"""Tests of version moves over three daemons, in virtual time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from booking_fleet import virtual_loop
from gypsumvane_core.document_models import MoveState
from move_fleet import MoveFleet

if TYPE_CHECKING:
    from collections.abc import Coroutine

VMS = ("vm-1", "vm-2", "vm-3")


class MoveServiceTest(unittest.TestCase):
    """Check the ends of a move and what operators see."""

    def setUp(self) -> None:
        self.loop = virtual_loop()
        self.fleet = MoveFleet()
        self.run_now(self.fleet.start(*VMS))
        self.run_now(self._begin())

    def tearDown(self) -> None:
        self.run_now(self.fleet.stop())
        self.loop.close()

    def run_now(self, work: Coroutine[object, object, None]) -> None:
        """Run work in virtual time."""
        self.loop.run_until_complete(work)

    async def _begin(self) -> None:
        self.fleet.begin_move()

    def pass_time(self, seconds: float) -> None:
        """Send traffic for some time."""
        self.run_now(self.fleet.pass_time(seconds))

    def test_good_version_is_done_on_time(self) -> None:
        """Guard against a good move that ends late or not at all."""
        self.pass_time(15)
        self.assertTrue(all(0.1 < share < 1 for share in self.fleet.shares().values()))
        self.assertNotIn(MoveState.DONE, self.fleet.stored.states)
        self.pass_time(17)
        self.assertEqual(self.fleet.stored.states[-1], MoveState.DONE)

    def test_bad_version_gets_its_canary_share_only(self) -> None:
        """Guard against a bad version that spreads or stays."""
        self.fleet.failing["v2"] = 1.0
        self.pass_time(10)
        self.assertEqual(self.fleet.stored.states[-1], MoveState.TAKEN_BACK)
        share = self.fleet.sent["v2"] / sum(self.fleet.sent.values())
        self.assertLess(share, 0.1)
        sent = self.fleet.sent["v2"]
        self.pass_time(40)
        self.assertEqual(self.fleet.sent["v2"], sent)

    def test_version_that_turns_bad_late_on_one_route(self) -> None:
        """Guard against a comparison diluted by time or by other routes."""
        self.pass_time(18)
        self.fleet.latency_ms["v2"] = 40.0
        self.fleet.bad_routes = ["run"]
        self.pass_time(6)
        self.assertEqual(self.fleet.stored.states[-1], MoveState.TAKEN_BACK)

    def test_taken_back_in_an_outage_is_written_after_it(self) -> None:
        """Guard against a verdict that is lost with the store."""
        self.fleet.stored.down = True
        self.fleet.failing["v2"] = 1.0
        self.pass_time(10)
        self.assertEqual(set(self.fleet.shares().values()), {0.0})
        self.assertEqual(self.fleet.stored.states, [MoveState.RUNNING])
        self.run_now(self.fleet.start("vm-1"))
        self.assertEqual(self.fleet.shares()["vm-1"], 0.0)
        self.pass_time(5)
        self.assertEqual(set(self.fleet.shares().values()), {0.0})
        self.fleet.stored.down = False
        self.pass_time(3)
        self.assertEqual(self.fleet.stored.states[-1], MoveState.TAKEN_BACK)

    def test_done_waits_for_every_member(self) -> None:
        """Guard against "done" while a member still applies another share."""
        self.fleet.apart = {"vm-3"}
        self.pass_time(40)
        self.assertEqual(self.fleet.stored.states, [MoveState.RUNNING])
        status = self.fleet.daemons["vm-1"].moves.status("ledger")
        assert status is not None
        self.assertNotEqual(status.applied["vm-3"], 1.0)
        self.assertEqual(status.phase, "scheduled")
        self.fleet.apart = set()
        self.pass_time(3)
        self.assertEqual(self.fleet.stored.states[-1], MoveState.DONE)
