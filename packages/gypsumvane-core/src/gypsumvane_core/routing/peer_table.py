"""The other daemons and which of them serve."""

from __future__ import annotations

from dataclasses import dataclass

# A peer that has been silent for this time is not named to callers. Peers are
# asked each second.
PEER_SILENT_S = 2.2
# A peer that has been silent for this time has no share in common limits.
PEER_LOST_S = 20.0
# Peers that one daemon asks; more would make the traffic grow with the square
# of the fleet.
PEERS_ASKED_MAX = 12


@dataclass(frozen=True, slots=True)
class DaemonRecord:
    """Describe a daemon to its peers."""

    name: str
    zone: str
    # HOST:PORT for callers.
    entry_address: str
    # HOST:PORT for peers.
    peer_address: str


@dataclass(slots=True)
class _Peer:
    record: DaemonRecord
    learned_s: float
    heard_s: float | None = None
    serving: bool = False


class PeerTable:
    """Follow the daemons that were stored, named or heard."""

    def __init__(self, own: DaemonRecord) -> None:
        self._own = own
        self._peers: dict[str, _Peer] = {}

    def learn(self, record: DaemonRecord, now_s: float) -> None:
        """Add a daemon that others have named."""
        if record.name == self._own.name:
            return
        peer = self._peers.get(record.name)
        if peer is None:
            self._peers[record.name] = _Peer(record, now_s)
        elif peer.heard_s is None:
            peer.record = record

    def heard(self, record: DaemonRecord, *, serving: bool, now_s: float) -> None:
        """Take what a daemon says of itself."""
        if record.name == self._own.name:
            return
        peer = self._peers.setdefault(record.name, _Peer(record, now_s))
        peer.record = record
        peer.heard_s = now_s
        peer.serving = serving

    def unreachable(self, name: str) -> None:
        """Note that a daemon refuses connections."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.serving = False

    def serving(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers that serve callers."""
        return [
            peer.record
            for peer in self._peers.values()
            if peer.serving and _recent(peer.heard_s, now_s, PEER_SILENT_S)
        ]

    def asked(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers to ask, the zones taken in turn."""
        zones: dict[str, list[_Peer]] = {}
        for peer in sorted(self._peers.values(), key=lambda peer: peer.record.name):
            last_s = peer.learned_s if peer.heard_s is None else peer.heard_s
            if now_s - last_s < PEER_LOST_S:
                zones.setdefault(peer.record.zone, []).append(peer)
        chosen: list[DaemonRecord] = []
        while zones and len(chosen) < PEERS_ASKED_MAX:
            for zone in list(zones):
                chosen.append(zones[zone].pop(0).record)
                if not zones[zone]:
                    del zones[zone]
        return chosen[:PEERS_ASKED_MAX]

    def records(self) -> list[DaemonRecord]:
        """Return all peers, for a daemon that has just started."""
        return [peer.record for peer in self._peers.values()]

    def count(self, now_s: float) -> int:
        """Return how many daemons share common limits, this one included."""
        others = sum(
            _recent(peer.heard_s, now_s, PEER_LOST_S)
            or now_s - peer.learned_s < PEER_LOST_S
            for peer in self._peers.values()
        )
        return 1 + others


def _recent(heard_s: float | None, now_s: float, limit_s: float) -> bool:
    return heard_s is not None and now_s - heard_s < limit_s
