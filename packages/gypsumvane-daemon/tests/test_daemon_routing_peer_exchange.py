"""Calls of the peer exchange to a store that fails."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from dataclasses import asdict
from typing import Any
from unittest import mock

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.pause_detector import PauseDetector
from gypsumvane_core.routing.peer_table import PeerTable
from gypsumvane_daemon.routing.peer_exchange import PeerExchange
from gypsumvane_daemon.routing.ports import StoreUnavailableError
from waiting import wait_until

# Length of the outage that the test plays.
OUTAGE_S = 6.0
DAEMONS = 100


class FailingPlatform:
    """Platform whose store is down and counts the lists of daemons."""

    lists = 0

    async def list_daemons(self) -> Any:
        """Fail."""
        self.lists += 1
        raise StoreUnavailableError("down")


class ListRetryTest(unittest.IsolatedAsyncioTestCase):
    """Play an outage of the store in virtual time."""

    async def count_lists(self, *, knows_peers: bool, seed: int) -> int:
        """Return the lists that one daemon asks for within OUTAGE_S."""
        clock = ManualClock()
        end_s = clock.monotonic_s() + OUTAGE_S
        own = DaemonRecord("d", "a", "d:1", "d:2")
        table = PeerTable(own)
        platform = FailingPlatform()
        exchange = PeerExchange(
            own,
            table=table,
            state=mock.Mock(),
            configs=mock.Mock(),
            moves=mock.Mock(),
            platform=platform,  # type: ignore[arg-type]
            client=mock.Mock(),
            seeds=(),
            pauses=PauseDetector(clock.monotonic_s()),
            clock=clock,
            rng=random.Random(seed),
        )

        async def advance(seconds: float) -> None:
            clock.advance(seconds)
            if clock.monotonic_s() >= end_s:
                raise asyncio.CancelledError
            if knows_peers:
                peer = DaemonRecord("p", "a", "p:1", "p:2")
                table.record_ping(peer, serving=True, now_s=clock.monotonic_s())

        if knows_peers:
            await advance(0.0)
        with (
            mock.patch(
                "gypsumvane_daemon.routing.peer_exchange.asyncio.sleep", advance
            ),
            self.assertRaises(asyncio.CancelledError),
        ):
            await exchange._list(first_start=False)
        return platform.lists

    async def test_fleet_asks_a_failing_store_rarely(self) -> None:
        """Guard against a call a second of each daemon that knows its peers."""
        total = 0
        for seed in range(DAEMONS):
            total += await self.count_lists(knows_peers=True, seed=seed)
        self.assertLess(total, 2 * DAEMONS)

    async def test_daemon_without_peers_asks_each_second(self) -> None:
        """Guard against a daemon that stays alone after an outage."""
        lists = await self.count_lists(knows_peers=False, seed=1)
        self.assertGreaterEqual(lists, OUTAGE_S - 1)


class PausedHubTest(unittest.IsolatedAsyncioTestCase):
    """Pause a hub while pings queue up in its sockets."""

    PAUSE_S = 3.5

    def setUp(self) -> None:
        self.clock = ManualClock()
        own = DaemonRecord("hub", "a", "h:1", "h:2")
        self.table = PeerTable(own)
        self.moves = mock.Mock(outgoing=lambda **_: {})
        self.client = mock.Mock()
        self.exchange = PeerExchange(
            own,
            table=self.table,
            state=mock.Mock(serving=True, version=1),
            configs=mock.Mock(),
            moves=self.moves,
            platform=mock.Mock(),
            client=self.client,
            seeds=(),
            pauses=PauseDetector(self.clock.monotonic_s()),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.peer = DaemonRecord("p", "a", "p:1", "p:2")
        self.status = {
            "daemon": asdict(self.peer),
            "serving": True,
            "version": 1,
            "told": [],
            "moves": {},
        }

    def serving(self) -> list[str]:
        """Return the names of the daemons that the hub reports to others."""
        now_s = self.clock.monotonic_s()
        return [entry.record.name for entry in self.table.serving_by_ping(now_s)]

    async def test_ping_that_was_read_after_a_pause(self) -> None:
        """Guard against a dead daemon that passes for a serving one (DRAIN).

        Its last ping was sent before the pause of the hub.
        """
        sent_s = self.clock.monotonic_s()
        self.clock.advance(self.PAUSE_S)
        request = mock.Mock(read=mock.AsyncMock(return_value=json.dumps(self.status)))
        response = await self.exchange.handle_ping(request)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.serving(), [])
        self.moves.receive.assert_called_once_with({}, sent_s)

    async def test_answer_to_a_ping_after_a_pause(self) -> None:
        """Guard against peers that pass for silent after a pause of the hub."""
        self.clock.advance(self.PAUSE_S)
        self.client.call = mock.AsyncMock(return_value=self.status)
        self.table.add_reported(self.peer, self.clock.monotonic_s())
        self.exchange.ping_now()
        await wait_until(lambda: self.serving() == ["p"])


if __name__ == "__main__":
    unittest.main()
