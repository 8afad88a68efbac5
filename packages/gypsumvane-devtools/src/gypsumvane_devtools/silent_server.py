"""Server that accepts connections and never answers, for tests of time-outs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.scripted_server import ScriptedServer

if TYPE_CHECKING:
    from collections.abc import Coroutine

# Longer than any cancellation takes on a busy machine.
WAIT_TIMEOUT_S = 10.0


class SilentServer(ScriptedServer):
    """Read what arrives and stay silent."""

    def __init__(self) -> None:
        super().__init__()
        self.received = asyncio.Event()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read until the client closes the connection."""
        while await reader.read(4096):
            self.received.set()

    async def cancel_at_timeout(
        self, call: Coroutine[Any, Any, Any], timeout_s: float
    ) -> bool:
        """Cancel a call when its time-out elapses and return whether it is cancelled.

        A process that was paused finds both due at once when it continues.
        """
        loop = asyncio.get_running_loop()
        task = asyncio.create_task(call)
        await self.received.wait()
        loop.call_later(timeout_s, task.cancel)
        _block_event_loop(1.5 * timeout_s)
        _, running = await asyncio.wait([task], timeout=WAIT_TIMEOUT_S)
        cancelled = task.cancelled()
        for left in running:
            left.cancel()
        return cancelled


def _block_event_loop(duration_s: float) -> None:
    time.sleep(duration_s)
