"""Slots of a simulated leaf and the queue of requests that wait for one."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_devtools.active_request import ActiveRequest


class QueueFull(Exception):  # noqa: N818
    """Report that all slots are taken and the queue is full."""


class SlotLimiter:
    """Limit the running requests; slots are given in the order of arrival."""

    def __init__(self) -> None:
        self.running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    async def acquire(
        self, active: ActiveRequest, *, slots: int, queue_max: int
    ) -> None:
        """Acquire a slot, waiting for it in the queue.

        Raises QueueFull, or RequestAborted when the request ends while waiting.
        """
        if self.running < slots and not self._waiting:
            self.running += 1
            return
        if len(self._waiting) >= queue_max:
            raise QueueFull
        await self._wait(active)

    def release(self) -> None:
        """Give the slot to the next waiting request or free it."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    async def _wait(self, active: ActiveRequest) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await active.wait_for(waiter)
        except BaseException:
            if waiter.done():
                self.release()
            else:
                self._waiting.remove(waiter)
            raise
