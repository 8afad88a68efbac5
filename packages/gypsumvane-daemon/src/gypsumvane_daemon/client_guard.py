"""Guard that ends connections of clients when a process has no room for them."""

from __future__ import annotations

import asyncio
import resource
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.client_budget import ClientBudget
from gypsumvane_core.client_budget import ClientLimits
from gypsumvane_core.client_budget import ClientPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.client_budget import ClientUse
    from gypsumvane_core.client_budget import EndReason

# Interval at which standstills are noticed.
TICK_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class EndedClient:
    """Describe a connection that the guard has ended."""

    listener: str
    # Address of the client.
    address: str
    reason: EndReason
    phase: ClientPhase
    held_bytes: int
    stalled_s: float
    # Identifier of the request that was in transit, empty if it is not known.
    request_id: str

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of a log line."""
        return {
            "request_id": self.request_id,
            "listener": self.listener,
            "client": self.address,
            "reason": self.reason,
            "phase": self.phase,
            "held_bytes": self.held_bytes,
            "stalled_ms": round(self.stalled_s * 1000),
        }


class GuardedConnection(ABC):
    """Connection of a client whose use counts in the budget."""

    __slots__ = ()

    use: ClientUse

    @abstractmethod
    def refresh(self) -> None:
        """Record the current use in the budget."""

    @abstractmethod
    def end(self, reason: EndReason) -> None:
        """End the connection, with a refusal where one is true."""

    @abstractmethod
    def describe(self) -> tuple[str, str, str]:
        """Return the listener, the client's address and the request's identifier."""


def client_limits(*, memory_mb: int, descriptors_max: int) -> ClientLimits:
    """Return the limits for clients within the settings and the process's own."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        descriptors_max = min(descriptors_max, soft)
    return ClientLimits.of_process(memory_mb=memory_mb, descriptors_max=descriptors_max)


class ClientGuard:
    """Apply the budget to the connections of all listeners of a process."""

    def __init__(
        self, limits: ClientLimits, on_end: Callable[[EndedClient], None]
    ) -> None:
        self.budget = ClientBudget(limits)
        self._on_end = on_end
        self._connections: dict[ClientUse, GuardedConnection] = {}

    def add(self, connection: GuardedConnection) -> None:
        """Count a connection that was opened, and end others or it if need be."""
        self._connections[connection.use] = connection
        self.budget.open(connection.use)
        self.make_room(connection, 0)

    def remove(self, connection: GuardedConnection) -> None:
        """Stop counting a connection."""
        self._connections.pop(connection.use, None)
        self.budget.close(connection.use)

    def make_room(self, connection: GuardedConnection, more_bytes: int) -> bool:
        """Return whether a connection may hold more, after ending others if need be."""
        if self.budget.has_room(more_bytes):
            return connection.use in self._connections
        self._refresh()
        self._end_all(self.budget.make_room(connection.use, more_bytes))
        return connection.use in self._connections

    def relieve(self) -> None:
        """End connections if what is held exceeds the limits."""
        if not self.budget.has_room(0):
            self._refresh()
            self._end_all(self.budget.make_room(None, 0))

    def end(self, connection: GuardedConnection, reason: EndReason) -> None:
        """End one connection."""
        self._end_all([(connection.use, reason)])

    async def run(self) -> None:
        """Notice clients that stand still, until cancelled."""
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = loop.time()
            # A process that was paused has not read what its clients sent meanwhile.
            self.budget.tick(min(now_s - last_s, 2 * TICK_INTERVAL_S))
            last_s = now_s
            self._refresh()
            self._end_all(self.budget.overdue())
            self.relieve()

    def answers_waiting(self, listener: str) -> int:
        """Return how many clients of a listener have not read their answer yet."""
        self._refresh()
        return sum(
            connection.use.phase is ClientPhase.ANSWER
            and connection.describe()[0] == listener
            for connection in self._connections.values()
        )

    def _refresh(self) -> None:
        for connection in list(self._connections.values()):
            connection.refresh()

    def _end_all(self, ended: list[tuple[ClientUse, EndReason]]) -> None:
        for use, reason in ended:
            connection = self._connections.get(use)
            if connection is None:
                continue
            listener, address, request_id = connection.describe()
            report = EndedClient(
                listener=listener,
                address=address,
                reason=reason,
                phase=use.phase,
                held_bytes=use.held_bytes,
                stalled_s=self.budget.stalled_s(use),
                request_id=request_id,
            )
            self.remove(connection)
            connection.end(reason)
            self._on_end(report)
