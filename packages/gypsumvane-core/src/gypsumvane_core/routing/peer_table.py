"""The other daemons: which are hubs of their failure domain and which serve."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.routing.daemon_record import rank_by_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.routing.daemon_record import DaemonRecord

# Peers are asked each second. One that is silent for this time is not named to
# callers and is no hub.
PEER_SILENT_S = 2.2
# What a hub tells of others is up to a second older.
HUB_REPORT_VALID_S = 3.5
# A daemon that was only named by others counts as present for this time.
REPORTED_VALID_S = 3.0
# A silent peer may only be cut off: it is asked and shares common limits for
# this time.
PEER_LOST_S = 60.0
# The daemons with most processor time of each failure domain. Hubs ask each
# other, the others ask the hubs of their failure domain only, so that the traffic
# between failure domains does not grow with the fleet.
HUBS_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class ServingDaemon:
    """Name a daemon that serves, and how old this knowledge is."""

    record: DaemonRecord
    age_s: float


@dataclass(slots=True)
class _Peer:
    record: DaemonRecord
    reported_s: float
    last_ping_s: float | None = None
    serving: bool = False
    reachable: bool = True

    def pinged_within(self, limit_s: float, now_s: float) -> bool:
        """Return whether the daemon itself was heard lately."""
        return self.last_ping_s is not None and now_s - self.last_ping_s < limit_s

    def present(self, now_s: float) -> bool:
        """Return whether the daemon seems to run."""
        if not self.reachable:
            return False
        if self.last_ping_s is None:
            return now_s - self.reported_s < REPORTED_VALID_S
        return self.pinged_within(PEER_SILENT_S, now_s)

    def in_fleet(self, now_s: float) -> bool:
        """Return whether the daemon may be running somewhere."""
        last_s = self.reported_s if self.last_ping_s is None else self.last_ping_s
        return now_s - last_s < PEER_LOST_S


class PeerTable:
    """Follow the daemons that were stored, named or heard."""

    def __init__(self, own: DaemonRecord) -> None:
        self._own = own
        self._peers: dict[str, _Peer] = {}
        # What each hub has told last.
        self._hub_reports: dict[str, dict[str, tuple[DaemonRecord, float]]] = {}

    def add_reported(self, record: DaemonRecord, now_s: float) -> None:
        """Add a daemon that others have named."""
        if record.name == self._own.name:
            return
        peer = self._peers.get(record.name)
        if peer is None:
            self._peers[record.name] = _Peer(record, now_s)
        elif peer.last_ping_s is None:
            peer.record = record

    def record_ping(self, record: DaemonRecord, *, serving: bool, now_s: float) -> None:
        """Take what a daemon says of itself."""
        if record.name == self._own.name:
            return
        peer = self._peers.setdefault(record.name, _Peer(record, now_s))
        peer.record = record
        peer.last_ping_s = now_s
        peer.serving = serving
        peer.reachable = True

    def record_hub_report(
        self, hub: str, named: Iterable[ServingDaemon], now_s: float
    ) -> None:
        """Take which daemons a hub says are serving, in place of before."""
        entries = {
            entry.record.name: (entry.record, now_s - entry.age_s)
            for entry in named
            if entry.record.name != self._own.name
        }
        self._hub_reports[hub] = entries
        for record, _ in entries.values():
            self.add_reported(record, now_s)

    def mark_unreachable(self, name: str) -> None:
        """Note that a daemon refuses connections."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.serving = False
            peer.reachable = False
        self._hub_reports.pop(name, None)

    def serving_by_ping(self, now_s: float) -> list[ServingDaemon]:
        """Return the peers of which this daemon itself heard that they serve."""
        return [
            ServingDaemon(peer.record, now_s - peer.last_ping_s)
            for peer in self._peers.values()
            if peer.serving
            and peer.last_ping_s is not None
            and now_s - peer.last_ping_s < PEER_SILENT_S
        ]

    def serving(self, now_s: float) -> list[ServingDaemon]:
        """Return the peers that serve, heard or told."""
        known = {entry.record.name: entry for entry in self.serving_by_ping(now_s)}
        for entries in self._hub_reports.values():
            for name, (record, at_s) in entries.items():
                if name in known or now_s - at_s >= HUB_REPORT_VALID_S:
                    continue
                peer = self._peers.get(name)
                if peer is None or peer.reachable:
                    known[name] = ServingDaemon(record, now_s - at_s)
        return list(known.values())

    def is_hub(self, now_s: float) -> bool:
        """Return whether this daemon is a hub of its failure domain."""
        return (
            self._own in self._ranked(self._own.failure_domain, now_s)[:HUBS_PER_DOMAIN]
        )

    def ping_targets(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers to ask now.

        Those that were hubs before they fell silent are asked too, because the
        link between may be cut.
        """
        domains = {self._own.failure_domain}
        if self.is_hub(now_s):
            domains |= {peer.record.failure_domain for peer in self._peers.values()}
        chosen: dict[str, DaemonRecord] = {}
        for failure_domain in sorted(domains):
            in_fleet = [
                peer.record
                for peer in self._peers.values()
                if peer.record.failure_domain == failure_domain and peer.in_fleet(now_s)
            ]
            hubs = self._ranked(failure_domain, now_s)[:HUBS_PER_DOMAIN]
            hubs += rank_by_capacity(in_fleet)[:HUBS_PER_DOMAIN]
            chosen.update({record.name: record for record in hubs})
        chosen.pop(self._own.name, None)
        return list(chosen.values())

    def relays(self, now_s: float) -> list[DaemonRecord]:
        """Return the hubs of this failure domain that rank before this daemon.

        They follow the store for the failure domain. Without any this daemon does.
        """
        ranked = self._ranked(self._own.failure_domain, now_s)
        return ranked[: ranked.index(self._own)][:HUBS_PER_DOMAIN]

    def present(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers that seem to run, those that serve first."""
        peers = [peer for peer in self._peers.values() if peer.present(now_s)]
        peers.sort(key=lambda peer: not peer.serving)
        return [peer.record for peer in peers]

    def fleet_size(self, now_s: float) -> int:
        """Return how many daemons share common limits, this one included."""
        return 1 + sum(peer.in_fleet(now_s) for peer in self._peers.values())

    def _ranked(self, failure_domain: str, now_s: float) -> list[DaemonRecord]:
        present = [
            peer.record
            for peer in self._peers.values()
            if peer.record.failure_domain == failure_domain and peer.present(now_s)
        ]
        if failure_domain == self._own.failure_domain:
            present.append(self._own)
        return rank_by_capacity(present)
