"""Channels and load of the leaves that get requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.routing.leaf_load import LeafLoad
from gypsumvane_daemon.routing.leaf_channel import LeafChannel

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import ServiceConfig
    from gypsumvane_core.routing.leaf_registry import LeafEntry

# Part of a leaf's connections that all daemons together use; a leaf accepts
# fewer while its queue is long.
CONNECTION_SHARE = 0.8
# More connections than slots only fill the queue of the leaf.
CONNECTIONS_PER_SLOT = 2
# Used for services that the configuration does not name yet.
CONNECTIONS_DEFAULT = 2


@dataclass(slots=True)
class LeafState:
    """Hold what is kept for one incarnation of a leaf."""

    load: LeafLoad = field(default_factory=LeafLoad)
    channel: LeafChannel | None = None
    # Connections that the channel may open.
    connections: int = 0


class LeafPool:
    """Create and close the channels of leaves."""

    def __init__(self) -> None:
        self._states: dict[tuple[str, int, str], LeafState] = {}
        self._closing: set[asyncio.Task[None]] = set()
        # Part of each leaf's connections that this daemon may open.
        self.share = 1.0

    def state(self, entry: LeafEntry) -> LeafState:
        """Return the state of a leaf."""
        state = self._states.get(entry.incarnation)
        if state is None:
            state = self._states[entry.incarnation] = LeafState()
        return state

    def load(self, entry: LeafEntry) -> LeafLoad:
        """Return the load of a leaf."""
        return self.state(entry).load

    def channel(self, entry: LeafEntry, service: ServiceConfig | None) -> LeafChannel:
        """Return the open channel of a leaf."""
        state = self.state(entry)
        limit = self._connections(entry, service)
        if state.channel is None:
            state.channel = LeafChannel(entry.address, connections=limit)
        elif state.connections != limit:
            state.channel.set_connections(limit)
        state.connections = limit
        return state.channel

    def keep_only(self, entries: list[LeafEntry]) -> None:
        """Close the channels of leaves that are not named and are idle."""
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
