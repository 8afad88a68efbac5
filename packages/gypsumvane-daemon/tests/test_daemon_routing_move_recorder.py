"""Tests of the writer of version moves."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.pause_detector import PauseDetector
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveOrder
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_core.routing.version_move import MoveReport
from gypsumvane_core.routing.version_move import MoveState
from gypsumvane_core.routing.version_move import VersionMove
from gypsumvane_daemon.routing import move_recorder
from gypsumvane_daemon.routing.move_recorder import MoveRecorder
from gypsumvane_daemon.routing.routing_state import RoutingState
from waiting import wait_until

DURATION_S = 16.0
ORDER = MoveOrder("s", "v2", DURATION_S, MoveState.RUNNING)


class FakePlatform:
    """Record the states that are written to the store."""

    def __init__(self) -> None:
        self.written: list[MoveState] = []

    async def record_move(self, order: MoveOrder, state: MoveState) -> MoveOrder:
        """Write a state."""
        self.written.append(state)
        return replace(order, state=state)


class FrozenLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Freeze the leader shortly before a completion is due."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(move_recorder, "POLL_INTERVAL_S", 0.001)
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = ManualClock()
        self.platform = FakePlatform()
        self.moves = MoveRegistry(CanaryBound(0.1))
        state = RoutingState()
        now_s = self.clock.monotonic_s()
        state.registry.put(LeafEntry("new", "s", "a:1", "a", version="v2"), now_s)
        self.polls = 0
        self.pauses = PauseDetector(now_s)
        recorder = MoveRecorder(
            self.moves,
            state,
            self.platform,  # type: ignore[arg-type]
            self.is_leader,
            self.pauses.running_since_s,
            self.clock,
        )
        self.move: VersionMove = self.moves.put(ORDER, now_s)
        self.answers(self.move, "v1", 100)
        self.answers(self.move, "v2", 20)
        self.peer: VersionMove = MoveRegistry(CanaryBound(0.1)).put(ORDER, now_s)
        self.answers(self.peer, "v1", 100)
        self.answers(self.peer, "v2", 20)
        task = asyncio.create_task(recorder.run())
        self.addCleanup(task.cancel)
        await self.run_for(0.84 * DURATION_S)

    def is_leader(self) -> bool:
        """Count the polls of the recorder."""
        self.polls += 1
        return True

    @staticmethod
    def answers(move: VersionMove, version: str, count: int, bad: int = 0) -> None:
        """Record answers, the bad ones last."""
        for number in range(count):
            failed = number >= count - bad
            move.record_answer("r", version, failed=failed, latency_ms=30.0)

    def report(self) -> MoveReport:
        """Pass the report of the peer to the leader."""
        now_s = self.clock.monotonic_s()
        report = self.peer.report("peer#1", now_s)
        self.moves.add_reports([report], now_s)
        return report

    async def poll(self) -> None:
        """Wait until the recorder has polled since now."""
        polls = self.polls
        await wait_until(lambda: self.polls >= polls + 2 or self.platform.written)

    async def run_for(self, duration_s: float) -> None:
        """Let time pass with ticks and reports of the peer."""
        end_s = self.clock.monotonic_s() + duration_s
        while self.clock.monotonic_s() < end_s:
            self.clock.advance(0.05)
            self.pauses.tick(self.clock.monotonic_s())
            self.report()
        await self.poll()

    async def test_bad_version_is_not_completed_after_a_freeze(self) -> None:
        """Guard against a completion by evidence from before a freeze (EXPOSURE).

        The timer of the recorder is due before the reports of peers are read, which
        have seen the version turn bad meanwhile (review/3).
        """
        self.clock.advance(2.2)
        await self.poll()
        self.assertEqual(self.platform.written, [])
        self.answers(self.peer, "v2", 3, bad=3)
        await self.run_for(0.5)
        self.assertEqual(self.platform.written, [MoveState.ROLLED_BACK])

    async def test_good_version_is_completed_after_a_freeze(self) -> None:
        """Guard against a good version that has no end."""
        self.clock.advance(2.2)
        await self.poll()
        await self.run_for(2.6)
        self.assertEqual(self.platform.written, [MoveState.COMPLETED])

    async def test_silent_peer_delays_the_completion(self) -> None:
        """Guard against a leader that has lost its peers, which may know more."""
        for _ in range(80):
            self.clock.advance(0.05)
            self.pauses.tick(self.clock.monotonic_s())
        await self.poll()
        self.assertEqual(self.platform.written, [])
        for _ in range(40):
            self.clock.advance(0.05)
            self.pauses.tick(self.clock.monotonic_s())
        await self.poll()
        self.assertEqual(self.platform.written, [MoveState.COMPLETED])


if __name__ == "__main__":
    unittest.main()
