"""Tests of the exchange of version moves between daemons."""

from __future__ import annotations

import unittest
from typing import Any

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveOrder
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_core.routing.version_move import MoveState
from gypsumvane_core.routing.version_move import VersionMove
from gypsumvane_daemon.routing.move_exchange import REPORT_VALID_S
from gypsumvane_daemon.routing.move_exchange import MoveExchange

ORDER = MoveOrder("s", "v2", 30.0)


class Member:
    """Daemon that knows an order and pings others."""

    def __init__(self, name: str, clock: ManualClock, *, hub: bool) -> None:
        self.clock = clock
        self.moves = MoveRegistry(CanaryBound(0.1))
        self.move: VersionMove = self.moves.put(ORDER, clock.monotonic_s())
        self.exchange = MoveExchange(name, self.moves, clock)
        self.hub = hub
        self.notices = 0
        self.exchange.on_taken_back = self.count_notice

    def count_notice(self) -> None:
        """Count a version that reports of peers take back."""
        self.notices += 1

    def status(self) -> dict[str, Any]:
        """Return the content of a ping."""
        return self.exchange.outgoing(forward=self.hub)

    def ping(self, other: Member) -> None:
        """Exchange the contents of a ping and of its answer."""
        now_s = self.clock.monotonic_s()
        other.exchange.receive(self.status(), now_s)
        self.exchange.receive(other.status(), now_s)

    def answers(self, version: str, count: int, *, failed: bool = False) -> None:
        """Record answers of a version."""
        for _ in range(count):
            self.move.record_answer("r", version, failed=failed, latency_ms=30.0)


class MoveExchangeTest(unittest.TestCase):
    """Check what two hubs and the daemons of their domains learn of a bad version."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.hubs = [Member(f"hub{at}", self.clock, hub=True) for at in range(2)]
        self.others = [Member(f"d{at}", self.clock, hub=False) for at in range(4)]

    def ping_all(self) -> None:
        """Let each daemon ping its hub, and the hubs each other."""
        for at, member in enumerate(self.others):
            member.ping(self.hubs[at % 2])
        self.hubs[0].ping(self.hubs[1])

    def test_answers_of_all_daemons_count_together(self) -> None:
        """Guard against a bad version that no daemon alone can judge (EXPOSURE)."""
        for member in self.others:
            member.answers("v1", 25)
            member.answers("v2", 2, failed=True)
            self.assertEqual(member.move.state, MoveState.RUNNING)
        for _ in range(2):
            self.ping_all()
        for member in (*self.hubs, *self.others):
            self.assertEqual(member.move.state, MoveState.ROLLED_BACK)
            self.assertEqual(member.notices, 1)

    def test_verdict_survives_a_restart(self) -> None:
        """Guard against a bad version that returns with a daemon that starts again."""
        self.others[0].move.state = MoveState.ROLLED_BACK
        self.ping_all()
        self.others[0] = Member("d0", self.clock, hub=False)
        self.ping_all()
        self.assertEqual(self.others[0].move.state, MoveState.ROLLED_BACK)

    def test_answers_of_a_peer_count_once(self) -> None:
        """Guard against the same answers counted with each ping."""
        self.others[0].answers("v1", 25)
        self.others[0].answers("v2", 2, failed=True)
        for _ in range(10):
            self.ping_all()
        self.assertEqual(self.hubs[1].move.state, MoveState.RUNNING)

    def test_another_target_version(self) -> None:
        """Guard against a report on an earlier order."""
        self.others[0].move.state = MoveState.ROLLED_BACK
        self.hubs[0].moves.put(MoveOrder("s", "v3", 30.0), self.clock.monotonic_s())
        self.ping_all()
        move = self.hubs[0].moves.find("s")
        assert move is not None
        self.assertEqual(move.state, MoveState.RUNNING)

    def test_reports_of_silent_daemons_are_not_forwarded(self) -> None:
        """Guard against pings that grow with each start of a daemon."""
        self.ping_all()
        self.assertEqual(len(self.hubs[0].status()["forwarded"]), 3)
        self.clock.advance(REPORT_VALID_S + 1)
        self.assertEqual(self.hubs[0].status()["forwarded"], [])

    def test_forwarded_reports_keep_their_age(self) -> None:
        """Guard against a hub that wakes and forwards old counts as new (EXPOSURE)."""
        first = self.others[0]
        first.answers("v2", 20)
        first.ping(self.hubs[0])
        self.clock.advance(3.0)
        first.answers("v2", 20)
        first.ping(self.hubs[1])
        self.assertEqual(self.hubs[0].status()["forwarded"][0]["age_s"], 3.0)
        now_s = self.clock.monotonic_s()
        self.hubs[1].exchange.receive(self.hubs[0].status(), now_s)
        evidence = self.hubs[1].move._evidence  # noqa: SLF001
        self.assertEqual(evidence.fleet_good_answers, 40)

    def test_malformed_reports(self) -> None:
        """Guard against a report that ends the daemon or is taken in part."""
        report = self.others[0].exchange.outgoing(forward=False)["own"][0]
        for change in (
            {"routes": {"r": [1, 2, 0, 0, 0, 0, 0, 0, 0]}},
            {"routes": {"r": [2, 1, 2, 0, 0, 0, 0, 0, 0]}},
            {"routes": {"r": [1]}},
            {"routes": {"r": ["x"] * 9}},
            {"routes": [1]},
            {"good_answers": None},
            {"elapsed_s": float("nan")},
            {"elapsed_s": -1},
            {"age_s": -1},
            {"age_s": float("inf")},
        ):
            with self.subTest(change), self.assertRaises((TypeError, ValueError)):
                self.hubs[0].exchange.receive(
                    {"own": [{**report, **change}], "forwarded": []}
                )


if __name__ == "__main__":
    unittest.main()
