"""Budget of the memory and connections that a process spends on its clients."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from heapq import nsmallest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

MIB = 2**20
# Share of a process's memory for all its clients. The rest is for the program, its
# state and the answers of leaves in progress.
MEMORY_SHARE = 0.4
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Share of the sockets for clients. The rest is for connections to leaves, peers and
# the store.
CONNECTION_SHARE = 3 / 4
# Memory of a connection without any bytes: its protocol, parser and task.
CONNECTION_BYTES = 8192
# Copies of received bytes that exist at the same time, for instance a body as read and
# as forwarded.
COPIES = 2
# Bytes that a client has to move to count as making progress.
PROGRESS_BYTES = 4096
# Time without progress after which a client counts as stalled.
STALL_S = 1.0
# Time without progress after which a body or an answer is given up in any case. The
# buffers of the kernel show the progress of a slow reader in large steps.
STALL_TIMEOUT_S = 60.0
# Parts of the memory and of the connections that are freed at a time, so that the
# clients are not searched again for each byte: of stalled clients, and of others.
STALLED_FREED = 1 / 8
OTHERS_FREED = 1 / 32


class ClientPhase(StrEnum):
    """Name what a connection of a client waits for."""

    # The next request.
    IDLE = "idle"
    # The rest of a head.
    HEAD = "head"
    # The rest of a body.
    BODY = "body"
    # The work of this process on a request that has arrived completely.
    RUNNING = "running"
    # The client, which reads an answer.
    ANSWER = "answer"


class EndReason(StrEnum):
    """Name why a connection of a client is ended."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_TIMEOUT = "head_timeout"
    STALLED = "stalled"
    HEAD_TOO_LARGE = "head_too_large"


# What a client waits with in the order in which its connection is the least loss.
_CONNECTION_ORDER = (
    ClientPhase.IDLE,
    ClientPhase.HEAD,
    ClientPhase.BODY,
    ClientPhase.ANSWER,
)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Hold the memory and the number of connections for all clients together."""

    memory_bytes: int
    connections_max: int

    @classmethod
    def of_process(cls, *, memory_mb: int, descriptors_max: int) -> ClientLimits:
        """Return the limits of a process with this memory and these descriptors."""
        sockets = max(0, descriptors_max - FILE_DESCRIPTORS)
        return cls(
            memory_bytes=int(memory_mb * MIB * MEMORY_SHARE),
            connections_max=max(1, int(sockets * CONNECTION_SHARE)),
        )


@dataclass(slots=True, eq=False)
class ClientUse:
    """Hold what one connection of a client uses and since when it stands still."""

    # Longest time for a head.
    head_timeout_s: float
    phase: ClientPhase = ClientPhase.IDLE
    held_bytes: int = CONNECTION_BYTES
    # Whether a request on the connection has arrived completely.
    served: bool = False
    # Order in which the connections were opened.
    number: int = 0
    phase_since_s: float = 0.0
    progress_s: float = 0.0
    progress_bytes: int = 0


@dataclass(slots=True)
class ClientBudget:
    """Choose whose connections to end when memory or connections are used up.

    Load: thousands of clients stop just short of the end of their requests, send them
    in small pieces, or do not read their answers, while others behave. Clients that
    stand still pay first, the longest ones before others, then those that hold most.
    A request in progress is not ended: its caller has done its part. What would have
    no room then is that of the client that asks for more.

    The time of the budget advances by ticks of the process, so that clients are not
    charged for a pause of the process.
    """

    limits: ClientLimits
    held_bytes: int = 0
    _clients: dict[ClientUse, None] = field(default_factory=dict)
    _now_s: float = 0.0
    _opened: int = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._clients)

    def tick(self, elapsed_s: float) -> None:
        """Advance the time by a time in which the process ran."""
        self._now_s += elapsed_s

    def open(self, client: ClientUse) -> None:
        """Count a connection that was opened."""
        self._opened += 1
        client.number = self._opened
        client.phase_since_s = client.progress_s = self._now_s
        self._clients[client] = None
        self.held_bytes += client.held_bytes

    def close(self, client: ClientUse) -> None:
        """Return what a connection has used, if it is open."""
        if client in self._clients:
            del self._clients[client]
            self.held_bytes -= client.held_bytes

    def update(
        self,
        client: ClientUse,
        phase: ClientPhase,
        *,
        unfinished_bytes: int,
        unsent_bytes: int = 0,
        moved_bytes: int,
    ) -> None:
        """Record the phase of a connection and the bytes held for it.

        unfinished_bytes are those of requests, unsent_bytes those of answers that are
        being written. moved_bytes counts all bytes that the client has sent and read.
        """
        if client not in self._clients:
            return
        held_bytes = CONNECTION_BYTES + COPIES * unfinished_bytes + unsent_bytes
        self.held_bytes += held_bytes - client.held_bytes
        client.held_bytes = held_bytes
        if phase is not client.phase:
            client.phase = phase
            client.phase_since_s = self._now_s
            client.served = client.served or phase is ClientPhase.RUNNING
        elif moved_bytes - client.progress_bytes < PROGRESS_BYTES:
            return
        client.progress_s = self._now_s
        client.progress_bytes = moved_bytes

    def has_room(self, more_bytes: int) -> bool:
        """Return whether the limits hold with further bytes of a client."""
        return (
            self.held_bytes + COPIES * more_bytes <= self.limits.memory_bytes
            and len(self._clients) <= self.limits.connections_max
        )

    def stalled_s(self, client: ClientUse) -> float:
        """Return how long a connection has made no progress."""
        return self._now_s - client.progress_s

    def overdue(self) -> list[tuple[ClientUse, EndReason]]:
        """Return the connections whose client takes too long in any case."""
        found = []
        for client in self._clients:
            if client.phase is ClientPhase.HEAD:
                if self._now_s - client.phase_since_s > client.head_timeout_s:
                    found.append((client, EndReason.HEAD_TIMEOUT))
            elif (
                client.phase in (ClientPhase.BODY, ClientPhase.ANSWER)
                and self.stalled_s(client) > STALL_TIMEOUT_S
            ):
                found.append((client, EndReason.STALLED))
        return found

    def make_room(
        self, asking: ClientUse | None, more_bytes: int
    ) -> list[tuple[ClientUse, EndReason]]:
        """Return the connections to end so that the limits hold.

        asking is the client that has sent more_bytes, or has just connected. It is
        among the returned ones if ending others does not suffice.
        """
        found = dict.fromkeys(self._free_connections(asking), EndReason.CONNECTIONS)
        for client in self._free_memory(asking, more_bytes, ended=found):
            found[client] = EndReason.MEMORY
        return list(found.items())

    def _free_connections(self, asking: ClientUse | None) -> list[ClientUse]:
        excess = len(self._clients) - self.limits.connections_max
        if excess <= 0:
            return []
        others = [
            client
            for client in self._clients
            if client is not asking and client.phase is not ClientPhase.RUNNING
        ]
        stalled = [client for client in others if self._is_stalled(client)]
        extra = int(self.limits.connections_max * OTHERS_FREED)
        chosen = nsmallest(excess + extra, stalled, key=_stalled_order)
        if len(chosen) < excess:
            rest = [client for client in others if not self._is_stalled(client)]
            chosen += nsmallest(excess - len(chosen), rest, key=_idle_order)
        if len(chosen) < excess and asking is not None:
            chosen.append(asking)
        return chosen

    def _free_memory(
        self,
        asking: ClientUse | None,
        more_bytes: int,
        *,
        ended: Container[ClientUse],
    ) -> list[ClientUse]:
        limit = self.limits.memory_bytes
        held = self.held_bytes + COPIES * more_bytes
        if held <= limit:
            return []
        others = [
            client
            for client in self._clients
            if client is not asking
            and client not in ended
            and client.phase is not ClientPhase.RUNNING
        ]
        stalled = [client for client in others if self._is_stalled(client)]
        rest = [
            client
            for client in others
            if client.phase is not ClientPhase.IDLE and not self._is_stalled(client)
        ]
        chosen: list[ClientUse] = []
        for client in sorted(stalled, key=_stalled_order):
            if held <= limit * (1 - STALLED_FREED):
                return chosen
            held -= client.held_bytes
            chosen.append(client)
        if held <= limit:
            return chosen
        for client in sorted(rest, key=_held_order):
            if held <= limit * (1 - OTHERS_FREED):
                return chosen
            held -= client.held_bytes
            chosen.append(client)
        if held > limit and asking is not None:
            chosen.append(asking)
        return chosen

    def _is_stalled(self, client: ClientUse) -> bool:
        return self.stalled_s(client) >= STALL_S


def _stalled_order(client: ClientUse) -> tuple[bool, float, int]:
    """Sort clients without any complete request first, then by standstill."""
    return client.served, client.progress_s, client.number


def _idle_order(client: ClientUse) -> tuple[int, float, int]:
    """Sort by the loss that the end of the connection means to the client."""
    order = _CONNECTION_ORDER.index(client.phase)
    return order, client.progress_s, client.number


def _held_order(client: ClientUse) -> tuple[int, int]:
    """Sort clients that hold most first."""
    return -client.held_bytes, client.number
