"""Calls of the peer exchange to a store that fails."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any
from unittest import mock

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.peer_table import PeerTable
from gypsumvane_daemon.routing.peer_exchange import PeerExchange
from gypsumvane_daemon.routing.ports import StoreUnavailableError

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
