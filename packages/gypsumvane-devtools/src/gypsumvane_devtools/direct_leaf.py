"""Calls of a direct root to one leaf within an even share of its limits."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from gypsumvane_daemon.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_daemon.upstream_client import LeafAnswer
    from gypsumvane_daemon.upstream_client import LeafCall


class DirectLeaf:
    """Send calls to a leaf within a share of its slots and connections."""

    def __init__(self, leaf: LeafModel) -> None:
        self.leaf = leaf
        self._client = UpstreamClient(leaf.address, connections=1)
        self._slots = 1
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    def set_daemon_count(self, daemons: int) -> None:
        """Set this daemon's share of the limits, divided evenly over all daemons.

        The share is at least 1; below that the daemon could not call the leaf.
        """
        self._slots = max(1, self.leaf.slots // daemons)
        connections = max(1, self.leaf.connections_max // daemons)
        self._client.set_connections(connections)
        self._grant_slots()

    async def send(self, call: LeafCall) -> LeafAnswer:
        """Send a call once when a slot is free; the wait for it is unlimited."""
        await self._acquire_slot()
        try:
            return await self._client.send(call)
        finally:
            self._running -= 1
            self._grant_slots()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _acquire_slot(self) -> None:
        if self._running < self._slots and not self._waiting:
            self._running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._running -= 1
                self._grant_slots()
            raise

    def _grant_slots(self) -> None:
        while self._waiting and self._running < self._slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._running += 1
                waiter.set_result(None)
