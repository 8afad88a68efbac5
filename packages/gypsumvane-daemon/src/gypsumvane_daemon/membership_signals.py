"""Events between the components of the membership service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class MembershipSignals:
    """Wake the loops of the membership and notify listeners of changes."""

    def __init__(self) -> None:
        # The connected peers may differ from the view.
        self.peers_changed = asyncio.Event()
        # A change of the view may have to be written.
        self.write_requested = asyncio.Event()
        # A new view may assign leaves of this daemon to other homes.
        self.release_requested = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener, called after each change of members or homes."""
        self._listeners.append(listener)

    def notify_changed(self) -> None:
        """Call the listeners and wake all tasks in ``wait_until``."""
        for listener in self._listeners:
            listener()
        task = asyncio.create_task(self._notify())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_until(
        self, condition: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Wait until the condition is true, checked after each change.

        Raises TimeoutError.
        """
        async with asyncio.timeout(timeout_s), self._changed:
            await self._changed.wait_for(condition)

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()
