"""Tests of the budget for clients."""

from __future__ import annotations

import random
import unittest

from gypsumvane_core.client_budget import CONNECTION_BYTES
from gypsumvane_core.client_budget import COPIES
from gypsumvane_core.client_budget import PROGRESS_BYTES
from gypsumvane_core.client_budget import STALL_S
from gypsumvane_core.client_budget import STALL_TIMEOUT_S
from gypsumvane_core.client_budget import ClientBudget
from gypsumvane_core.client_budget import ClientLimits
from gypsumvane_core.client_budget import ClientPhase
from gypsumvane_core.client_budget import ClientUse
from gypsumvane_core.client_budget import EndReason

TICK_S = 0.5
# Largest legal body.
BODY_BYTES = 262_144
LIMITS = ClientLimits(memory_bytes=8 * 2**20, connections_max=100)


class ClientBudgetTest(unittest.TestCase):
    """Check who pays when the budget is used up."""

    def setUp(self) -> None:
        self.budget = ClientBudget(LIMITS)

    def open(
        self, phase: ClientPhase = ClientPhase.IDLE, unfinished_bytes: int = 0
    ) -> ClientUse:
        """Open a connection in a phase."""
        client = ClientUse(head_timeout_s=3.0)
        self.budget.open(client)
        self.update(client, phase, unfinished_bytes)
        return client

    def update(
        self, client: ClientUse, phase: ClientPhase, unfinished_bytes: int = 0
    ) -> None:
        """Record bytes that were all received just now."""
        self.budget.update(
            client,
            phase,
            unfinished_bytes=unfinished_bytes,
            moved_bytes=unfinished_bytes,
        )

    def pause(self, seconds: float) -> None:
        """Let time pass in which no client moves anything."""
        for _ in range(round(seconds / TICK_S)):
            self.budget.tick(TICK_S)

    def end(self, asking: ClientUse | None, more_bytes: int = 0) -> list[ClientUse]:
        """Make room and close what is to end."""
        ended = [client for client, _ in self.budget.make_room(asking, more_bytes)]
        for client in ended:
            self.budget.close(client)
        return ended

    def test_room_is_free(self) -> None:
        """Guard against connections that are ended without need."""
        client = self.open(ClientPhase.BODY, BODY_BYTES)
        self.assertTrue(self.budget.has_room(BODY_BYTES))
        self.assertEqual(self.budget.make_room(client, BODY_BYTES), [])

    def test_stalled_clients_pay_before_those_that_move(self) -> None:
        """Guard against a moving caller that pays for bodies that stand still."""
        stalled = [self.open(ClientPhase.BODY, BODY_BYTES) for _ in range(14)]
        self.pause(2 * STALL_S)
        moving = self.open(ClientPhase.BODY, 2 * BODY_BYTES)
        asking = self.open(ClientPhase.BODY, 0)
        ended = self.end(asking, BODY_BYTES)
        self.assertTrue(ended)
        self.assertEqual(ended, stalled[: len(ended)])
        self.assertNotIn(moving, ended)

    def test_longest_standstill_pays_first(self) -> None:
        """Guard against a body that has just stopped and pays for an older one."""
        old = [self.open(ClientPhase.BODY, BODY_BYTES) for _ in range(7)]
        self.pause(2 * STALL_S)
        recent = [self.open(ClientPhase.ANSWER, BODY_BYTES) for _ in range(8)]
        self.pause(2 * STALL_S)
        ended = self.end(self.open(ClientPhase.BODY), BODY_BYTES)
        self.assertTrue(ended)
        self.assertLessEqual(set(ended), set(old))
        self.assertFalse(set(ended) & set(recent))

    def test_trickle_is_no_progress(self) -> None:
        """Guard against a client that sends single bytes to stay."""
        trickling = self.open(ClientPhase.BODY, BODY_BYTES)
        for count in range(8):
            self.pause(TICK_S)
            self.update(trickling, ClientPhase.BODY, BODY_BYTES + count)
        self.assertGreater(self.budget.stalled_s(trickling), STALL_S)
        self.update(trickling, ClientPhase.BODY, BODY_BYTES + PROGRESS_BYTES)
        self.assertEqual(self.budget.stalled_s(trickling), 0.0)

    def test_greatest_holder_pays_among_moving_clients(self) -> None:
        """Guard against a small request that pays for large ones."""
        small = self.open(ClientPhase.BODY, 1000)
        large = [self.open(ClientPhase.ANSWER, 2**20) for _ in range(4)]
        ended = self.end(small, 1000)
        self.assertTrue(ended)
        self.assertLessEqual(set(ended), set(large))

    def test_requests_in_progress_stay(self) -> None:
        """Guard against a request that is ended after its caller has done its part."""
        running = [self.open(ClientPhase.RUNNING, BODY_BYTES) for _ in range(15)]
        asking = self.open(ClientPhase.BODY)
        self.pause(2 * STALL_S)
        self.assertEqual(
            self.budget.make_room(asking, 2 * BODY_BYTES), [(asking, EndReason.MEMORY)]
        )
        self.assertEqual(self.budget.make_room(None, 0), [])
        self.assertTrue(running)

    def test_silent_connections_pay_before_kept_ones(self) -> None:
        """Guard against kept connections that are closed for silent new ones."""
        kept = []
        for _ in range(50):
            client = self.open(ClientPhase.RUNNING)
            self.update(client, ClientPhase.IDLE)
            kept.append(client)
        self.pause(2 * STALL_S)
        silent = [self.open() for _ in range(50)]
        self.pause(2 * STALL_S)
        asking = self.open()
        ended = self.end(asking)
        self.assertTrue(ended)
        self.assertLessEqual(set(ended), set(silent))
        self.assertTrue(all(client in self.budget._clients for client in kept))

    def test_no_connection_is_free(self) -> None:
        """Guard against more connections than descriptors when all are at work."""
        for _ in range(LIMITS.connections_max):
            self.open(ClientPhase.RUNNING)
        asking = self.open()
        self.assertEqual(
            self.budget.make_room(asking, 0), [(asking, EndReason.CONNECTIONS)]
        )

    def test_overdue(self) -> None:
        """Guard against heads, bodies and answers that stay for ever."""
        head = self.open(ClientPhase.HEAD, 10)
        body = self.open(ClientPhase.BODY, 10)
        answer = self.open(ClientPhase.ANSWER, 10)
        running = self.open(ClientPhase.RUNNING, 10)
        self.pause(3.0)
        self.assertEqual(self.budget.overdue(), [])
        self.pause(TICK_S)
        self.assertEqual(self.budget.overdue(), [(head, EndReason.HEAD_TIMEOUT)])
        self.pause(STALL_TIMEOUT_S)
        ended = dict(self.budget.overdue())
        self.assertEqual(ended[body], EndReason.STALLED)
        self.assertEqual(ended[answer], EndReason.STALLED)
        self.assertNotIn(running, ended)

    def test_crowd_and_ordinary_callers(self) -> None:
        """Guard against a crowd that drives ordinary callers out.

        Each step, clients of the crowd connect and send all but the end of a large
        body, and an ordinary caller sends a small one and gets its answer.
        """
        rng = random.Random(1)
        crowd: set[ClientUse] = set()
        for _ in range(200):
            for _ in range(rng.randrange(1, 20)):
                client = self.open()
                crowd.add(client)
                self.end(client)
                for size in range(16_384, BODY_BYTES, 16_384):
                    if client not in self.budget._clients:
                        break
                    self.end(client, 16_384)
                    self.update(client, ClientPhase.BODY, size)
            caller = self.open()
            self.assertNotIn(caller, self.end(caller))
            self.assertNotIn(caller, self.end(caller, 1000))
            self.update(caller, ClientPhase.RUNNING, 1000)
            self.assertNotIn(caller, self.end(None))
            self.update(caller, ClientPhase.ANSWER, 1000)
            self.assertNotIn(caller, self.end(None))
            self.budget.close(caller)
            self.assertLessEqual(
                self.budget.held_bytes, LIMITS.memory_bytes + COPIES * 16_384
            )
            self.assertLessEqual(self.budget.connections, LIMITS.connections_max)
            self.pause(TICK_S)

    def test_close_returns_everything(self) -> None:
        """Guard against a budget that shrinks with each connection."""
        clients = [self.open(ClientPhase.BODY, BODY_BYTES) for _ in range(5)]
        for client in clients:
            self.budget.close(client)
            self.budget.close(client)
            # A connection may report once more while it is being closed.
            self.update(client, ClientPhase.BODY, BODY_BYTES)
        self.assertEqual((self.budget.held_bytes, self.budget.connections), (0, 0))

    def test_limits_of_a_process(self) -> None:
        """Guard against limits that the usual clients of a small VM meet."""
        limits = ClientLimits.of_process(memory_mb=300, descriptors_max=4100)
        self.assertGreater(limits.connections_max, 2000)
        # A hundred bodies of the usual limit at the same time.
        self.assertGreater(
            limits.memory_bytes, 100 * (CONNECTION_BYTES + COPIES * BODY_BYTES)
        )


if __name__ == "__main__":
    unittest.main()
