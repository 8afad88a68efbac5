"""Channels to leaves and their load, by incarnation."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.routing.leaf_limit import LeafLimit
from gypsumvane_core.routing.leaf_limit import divide_limit
from gypsumvane_core.routing.leaf_load import LeafLoad
from gypsumvane_core.routing.receive_allowance import ReceiveAllowance
from gypsumvane_daemon.routing.leaf_channel import LeafChannel

if TYPE_CHECKING:
    from random import Random

    from gypsumvane_core.routing.config import ServiceConfig
    from gypsumvane_core.routing.leaf_registry import LeafEntry

logger = logging.getLogger(__name__)

# Share of a leaf's connection limit that all daemons together use, because a leaf
# accepts fewer connections while its queue is long.
CONNECTION_SHARE = 0.8
# Connections of one daemon per slot of a leaf; more would only lengthen its queue.
CONNECTIONS_PER_SLOT = 2
# Connections to a leaf whose service is not in the configuration yet.
CONNECTIONS_DEFAULT = 2


@dataclass(slots=True)
class LeafState:
    """Hold the load and the channel of one incarnation of a leaf."""

    load: LeafLoad = field(default_factory=LeafLoad)
    channel: LeafChannel | None = None
    # Connection limit that was last applied to the channel.
    connections: int = 0
    # Requests per second that the leaf takes from all daemons; None without a limit.
    limit_per_s: float | None = None
    limit: LeafLimit | None = None


class LeafPool:
    """Open channels to leaves on demand and close those of removed leaves."""

    def __init__(self, own_name: str, rng: Random) -> None:
        self._own_name = own_name
        self._rng = rng
        # Names of the daemons that divide limits of leaves.
        self._members: tuple[str, ...] = (own_name,)
        self._states: dict[tuple[str, int, str], LeafState] = {}
        self._closing: set[asyncio.Task[None]] = set()
        # Memory for the answers of all leaves.
        self.allowance = ReceiveAllowance()
        # Share of each leaf's connection limit that this daemon may use.
        self.share = 1.0

    def state(self, entry: LeafEntry) -> LeafState:
        """Return the state of a leaf, new on first use."""
        state = self._states.get(entry.incarnation)
        if state is None:
            state = self._states[entry.incarnation] = LeafState()
        return state

    def load(self, entry: LeafEntry) -> LeafLoad:
        """Return the load of a leaf."""
        return self.state(entry).load

    def record_limit(
        self, entry: LeafEntry, limit_per_s: float | None, now_s: float
    ) -> None:
        """Record the limit that a leaf names with an answer, None if it names none."""
        state = self.state(entry)
        if limit_per_s == state.limit_per_s:
            return
        logger.info(
            "leaf limit changed",
            extra={
                "leaf": entry.leaf_id,
                "limit_per_s": limit_per_s,
                "limit_per_s_before": state.limit_per_s,
            },
        )
        state.limit_per_s = limit_per_s
        if limit_per_s is None:
            state.limit = None
            return
        part = divide_limit(limit_per_s, entry.leaf_id, self._own_name, self._members)
        if state.limit is None:
            state.limit = LeafLimit(part, now_s, self._rng.random())
        else:
            state.limit.part = part

    def set_members(self, names: tuple[str, ...]) -> None:
        """Divide all limits among the daemons that callers are sent to."""
        if names == self._members:
            return
        self._members = names
        for (leaf_id, *_), state in self._states.items():
            if state.limit is not None and state.limit_per_s is not None:
                state.limit.part = divide_limit(
                    state.limit_per_s, leaf_id, self._own_name, names
                )

    def channel(self, entry: LeafEntry, service: ServiceConfig | None) -> LeafChannel:
        """Return the channel to a leaf, with its connection limit up to date."""
        state = self.state(entry)
        limit = self._connections(entry, service)
        if state.channel is None:
            state.channel = LeafChannel(
                entry.address, connections=limit, allowance=self.allowance
            )
        elif state.connections != limit:
            state.channel.set_connections(limit)
        state.connections = limit
        return state.channel

    def keep_only(self, entries: list[LeafEntry]) -> None:
        """Close the channels of all other leaves unless they have calls in flight."""
        kept = {entry.incarnation for entry in entries}
        for key in list(self._states.keys() - kept):
            state = self._states[key]
            if state.load.in_flight:
                continue
            del self._states[key]
            if state.channel is not None:
                task = asyncio.create_task(state.channel.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels."""
        channels = [state.channel for state in self._states.values() if state.channel]
        self._states.clear()
        await asyncio.gather(*(channel.close() for channel in channels), *self._closing)

    def _connections(self, entry: LeafEntry, service: ServiceConfig | None) -> int:
        if service is None:
            return CONNECTIONS_DEFAULT
        share = int(service.connections_max * CONNECTION_SHARE * self.share)
        return max(1, min(share, CONNECTIONS_PER_SLOT * entry.slots))
