"""The addresses that callers are told to use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.peer_table import DaemonRecord
    from gypsumvane_core.routing.peer_table import PeerTable
    from gypsumvane_daemon.routing.routing_state import RoutingState

# Callers keep an answer for this time, some of them three times as long.
ADDRESSES_VALID_S = 1.0
ADDRESSES_MAX = 64


@dataclass(frozen=True, slots=True)
class EntryDirectory:
    """Name the daemons that serve."""

    own: DaemonRecord
    peers: PeerTable
    state: RoutingState
    clock: Clock

    def addresses(self) -> list[str]:
        """Return the addresses of this daemon and the peers that serve."""
        serving = self.peers.serving(self.clock.monotonic_s())
        addresses = [record.entry_address for record in serving]
        if self.state.serving:
            addresses.insert(0, self.own.entry_address)
        return addresses[:ADDRESSES_MAX]
