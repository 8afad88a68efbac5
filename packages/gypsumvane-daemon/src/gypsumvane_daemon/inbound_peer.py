"""Connection that a peer has opened, as a client of this process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gypsumvane_core.client_budget import ClientPhase
from gypsumvane_core.client_budget import ClientUse
from gypsumvane_daemon.client_guard import GuardedConnection

if TYPE_CHECKING:
    import asyncio

    from gypsumvane_core.client_budget import EndReason
    from gypsumvane_daemon.client_guard import ClientGuard

LISTENER = "peers"


class InboundPeer(GuardedConnection):
    """Count the frames that a peer sends and that are not answered yet."""

    __slots__ = ("use", "_guard", "_transport", "_reading", "_handling", "_moved")

    def __init__(self, transport: asyncio.WriteTransport, guard: ClientGuard) -> None:
        self.use = ClientUse(head_timeout_s=math.inf)
        self._guard = guard
        self._transport = transport
        # Bytes of the frame that is being read, and of those in progress.
        self._reading = 0
        self._handling = 0
        self._moved = 0

    def admit_frame(self, length: int) -> bool:
        """Return whether there is room for a frame of this length."""
        admitted = self._guard.make_room(self, length)
        self._reading = length
        self.refresh()
        return admitted

    def begin_frame(self) -> int:
        """Count the frame that has been read as in progress and return its length."""
        length = self._reading
        self._reading = 0
        self._handling += length
        self._moved += length
        self.refresh()
        return length

    def finish_frame(self, length: int) -> None:
        """Stop counting a frame that was in progress."""
        self._handling -= length
        self.refresh()

    def refresh(self) -> None:
        """Record the current use in the budget."""
        self._guard.budget.update(
            self.use,
            self._phase(),
            unfinished_bytes=self._reading + self._handling,
            unsent_bytes=self._transport.get_write_buffer_size(),
            moved_bytes=self._moved,
        )

    def end(self, reason: EndReason) -> None:
        """End the connection."""
        self._transport.abort()

    def describe(self) -> tuple[str, str, str]:
        """Return the listener, the client's address and no request's identifier."""
        host, port = (self._transport.get_extra_info("peername") or ("", 0))[:2]
        return LISTENER, f"{host}:{port}", ""

    def _phase(self) -> ClientPhase:
        if self._handling:
            return ClientPhase.RUNNING
        if self._reading:
            return ClientPhase.BODY
        if self._transport.get_write_buffer_size():
            return ClientPhase.ANSWER
        return ClientPhase.IDLE
