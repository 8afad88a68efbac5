"""Table of the other daemons: their liveness, and the hubs of failure domains.

A daemon learns of others by their own pings, from the reports of hubs, which name
the serving daemons that pinged them, and from the list of daemons in the store.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.routing.daemon_record import rank_by_capacity
from gypsumvane_core.routing.entry_selection import select_entries

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.routing.daemon_record import DaemonRecord

# Peers are pinged every second. The address of a peer that was silent for this time is
# not given to callers, and the peer is no hub.
PEER_SILENT_S = 2.2
# Time for which a hub's report of a peer counts; it is up to a second older than a
# ping of the peer itself.
HUB_REPORT_VALID_S = 3.5
# Time for which a peer that only others have named counts as present.
REPORTED_VALID_S = 3.0
# Time for which a silent peer is still pinged and counted in the division of
# fleet-wide limits, because it may run behind a cut link.
PEER_LOST_S = 60.0
# Hubs are the daemons with the most CPU capacity of each failure domain. They ping
# each other; other daemons ping only the hubs of their own failure domain, so that
# the traffic between failure domains does not grow with the fleet.
HUBS_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class ServingDaemon:
    """Name a serving daemon and the age of its last ping."""

    record: DaemonRecord
    age_s: float


@dataclass(slots=True)
class _Peer:
    record: DaemonRecord
    # When others first named the peer.
    reported_s: float
    # When the peer itself last pinged or answered; None before the first time.
    last_ping_s: float | None = None
    serving: bool = False
    reachable: bool = True

    def pinged_within(self, limit_s: float, now_s: float) -> bool:
        """Return whether the last ping of the peer is younger than limit_s."""
        return self.last_ping_s is not None and now_s - self.last_ping_s < limit_s

    def present(self, now_s: float) -> bool:
        """Return whether the peer appears to run and to be reachable."""
        if not self.reachable:
            return False
        if self.last_ping_s is None:
            return now_s - self.reported_s < REPORTED_VALID_S
        return self.pinged_within(PEER_SILENT_S, now_s)

    def in_fleet(self, now_s: float) -> bool:
        """Return whether the peer counts in the size of the fleet."""
        last_s = self.reported_s if self.last_ping_s is None else self.last_ping_s
        return now_s - last_s < PEER_LOST_S


class PeerTable:
    """Track the peers of a daemon and derive hubs, relays and ping targets."""

    def __init__(self, own: DaemonRecord) -> None:
        self._own = own
        self._peers: dict[str, _Peer] = {}
        # Last report of each hub: record and time of the last ping of each serving
        # peer, by name.
        self._hub_reports: dict[str, dict[str, tuple[DaemonRecord, float]]] = {}

    def add_reported(self, record: DaemonRecord, now_s: float) -> None:
        """Add a daemon that a hub or the store has named."""
        if record.name == self._own.name:
            return
        peer = self._peers.get(record.name)
        if peer is None:
            self._peers[record.name] = _Peer(record, now_s)
        elif peer.last_ping_s is None:
            peer.record = record

    def record_ping(self, record: DaemonRecord, *, serving: bool, now_s: float) -> None:
        """Record a ping of a daemon or its answer to one, unless a newer is known."""
        if record.name == self._own.name:
            return
        peer = self._peers.setdefault(record.name, _Peer(record, now_s))
        if peer.last_ping_s is not None and now_s < peer.last_ping_s:
            return
        peer.record = record
        peer.last_ping_s = now_s
        peer.serving = serving
        peer.reachable = True

    def record_hub_report(
        self, hub: str, named: Iterable[ServingDaemon], now_s: float
    ) -> None:
        """Replace the serving daemons that a hub has reported."""
        entries = {
            entry.record.name: (entry.record, now_s - entry.age_s)
            for entry in named
            if entry.record.name != self._own.name
        }
        self._hub_reports[hub] = entries
        for record, _ in entries.values():
            self.add_reported(record, now_s)

    def mark_unreachable(self, name: str) -> None:
        """Record that a daemon refuses connections."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.serving = False
            peer.reachable = False
        self._hub_reports.pop(name, None)

    def serving_by_ping(self, now_s: float) -> list[ServingDaemon]:
        """Return the peers whose own recent ping says that they serve."""
        return [
            ServingDaemon(peer.record, now_s - peer.last_ping_s)
            for peer in self._peers.values()
            if peer.serving
            and peer.last_ping_s is not None
            and now_s - peer.last_ping_s < PEER_SILENT_S
        ]

    def serving(self, now_s: float) -> list[ServingDaemon]:
        """Return the peers that serve, by their own pings or by reports of hubs."""
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
        """Return whether this daemon is a hub of its own failure domain."""
        return (
            self._own in self._ranked(self._own.failure_domain, now_s)[:HUBS_PER_DOMAIN]
        )

    def may_be_entry(self, now_s: float) -> bool:
        """Return whether this daemon would be an entry daemon if all daemons served."""
        return self._own in self.expected_entries(now_s)

    def expected_entries(self, now_s: float) -> list[DaemonRecord]:
        """Return the entry daemons if all known daemons served, with this one."""
        fleet = [peer.record for peer in self._peers.values() if peer.in_fleet(now_s)]
        return select_entries([*fleet, self._own])

    def ping_targets(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers to ping now.

        They include former hubs that are silent, because only the link to them
        may be cut.
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

        They relay the objects of the store to the failure domain. If there are
        none, this daemon reads from the store itself.
        """
        ranked = self._ranked(self._own.failure_domain, now_s)
        return ranked[: ranked.index(self._own)][:HUBS_PER_DOMAIN]

    def remote_hubs(self, now_s: float) -> list[DaemonRecord]:
        """Return the first hub of each other failure domain, as far as it is known.

        A daemon that is no hub knows the serving daemons of other failure domains
        from the reports of its hubs.
        """
        first: dict[str, DaemonRecord] = {}
        serving = (entry.record for entry in self.serving(now_s))
        for record in rank_by_capacity(serving):
            if record.failure_domain != self._own.failure_domain:
                first.setdefault(record.failure_domain, record)
        return list(first.values())

    def present(self, now_s: float) -> list[DaemonRecord]:
        """Return the peers that appear to run, serving ones first."""
        peers = [peer for peer in self._peers.values() if peer.present(now_s)]
        peers.sort(key=lambda peer: not peer.serving)
        return [peer.record for peer in peers]

    def fleet_size(self, now_s: float) -> int:
        """Return the number of daemons that share fleet-wide limits, with this one."""
        return 1 + sum(peer.in_fleet(now_s) for peer in self._peers.values())

    def _ranked(self, failure_domain: str, now_s: float) -> list[DaemonRecord]:
        """Return the running daemons of a failure domain, hubs first."""
        present = [
            peer.record
            for peer in self._peers.values()
            if peer.record.failure_domain == failure_domain and peer.present(now_s)
        ]
        if failure_domain == self._own.failure_domain:
            present.append(self._own)
        return rank_by_capacity(present)
