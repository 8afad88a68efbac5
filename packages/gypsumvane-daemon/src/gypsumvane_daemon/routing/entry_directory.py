"""Directory of the entry daemons, the ones that callers connect to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.routing.entry_selection import select_entries

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.daemon_record import DaemonRecord
    from gypsumvane_core.routing.peer_table import PeerTable
    from gypsumvane_daemon.routing.routing_state import RoutingState

# Time for which callers may cache the addresses; some use them three times as long.
ADDRESSES_VALID_S = 1.0
ADDRESSES_MAX = 64


@dataclass(frozen=True, slots=True)
class EntryDirectory:
    """Select the entry daemons among those that serve."""

    own: DaemonRecord
    peers: PeerTable
    state: RoutingState
    clock: Clock

    def entries(self) -> list[DaemonRecord]:
        """Return the entry daemons, those with the most CPU capacity first."""
        serving = self.peers.serving(self.clock.monotonic_s())
        records = [entry.record for entry in serving]
        if self.state.serving:
            records.append(self.own)
        return select_entries(records)[:ADDRESSES_MAX]

    def addresses(self) -> list[str]:
        """Return the addresses of the entry daemons for callers."""
        return [record.entry_address for record in self.entries()]
