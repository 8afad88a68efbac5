"""Registry of the leaves of all services and their eligibility for requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.routing.change_period import ChangePeriod

# Longest time for which a leaf that is draining or whose entry is gone stays eligible
# if its service has no ready leaf. Entries of running leaves that expired during a
# store outage are back within 2 s of the end of the outage.
LEAVING_LEAF_GRACE_S = 2.2
# Time for which a leaf still serves after the store has accepted that it drains.
DRAIN_DEFAULT_S = 3.0
# Leaves that are gone and still known, so that an older entry does not revive them.
GONE_LEAVES_MAX = 4096
# Time that a request may be on its way to a leaf.
SEND_MARGIN_S = 0.3


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """Describe one incarnation of a leaf, that is, one start of its process."""

    leaf_id: str
    service: str
    address: str
    failure_domain: str
    version: str = ""
    slots: int = 1
    draining: bool = False
    # Remaining time in cold start when the entry was last changed.
    warmup_left_ms: int = 0
    # Wall-clock start time of the incarnation; 0 if unknown.
    started_unix_ms: int = 0
    # Number of the leaf's report, which grows within an incarnation.
    sequence: int = 0

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """Return a key that identifies the incarnation at its address."""
        return (self.leaf_id, self.started_unix_ms, self.address)

    def is_older_than(self, other: LeafEntry) -> bool:
        """Return whether the leaf has made this report before another one.

        Reports of different incarnations, or of unknown ones, cannot be compared.
        """
        return (
            self.started_unix_ms > 0
            and self.incarnation == other.incarnation
            and self.sequence < other.sequence
        )


@dataclass(slots=True)
class _Leaf:
    entry: LeafEntry
    # End of eligibility; None while the leaf is ready.
    grace_until_s: float | None = None
    cold_until_s: float = 0.0
    # Whether the incarnation has said in an answer that it leaves.
    leaving: bool = False

    @property
    def began_to_leave(self) -> bool:
        """Return whether the leaf has said that it leaves.

        It stays known when its entry is gone, because its entry may return after an
        outage of the store and would start a new grace.
        """
        return self.entry.draining or self.leaving

    def grace_is_over(self, now_s: float) -> bool:
        """Return whether the leaf has begun to leave and its grace has ended."""
        return self.grace_until_s is not None and self.grace_until_s <= now_s


class LeafRegistry:
    """Hold the registered leaves and select those that may get requests."""

    def __init__(self, drain_s: float = DRAIN_DEFAULT_S) -> None:
        # Time for which a leaf that leaves still serves.
        self.drain_s = drain_s
        self._leaves: dict[str, _Leaf] = {}
        self._services: dict[str, dict[str, _Leaf]] = {}
        # Last entries of leaves that are gone, the oldest first.
        self._gone: dict[str, LeafEntry] = {}
        self._domains_out: frozenset[str] = frozenset()
        # When the first leaf of each version of a service was seen.
        self._version_seen_s: dict[tuple[str, str], float] = {}

    def put(
        self, entry: LeafEntry, now_s: float, period: ChangePeriod | None = None
    ) -> bool:
        """Add or update a leaf; return False if newer news of it is known.

        A report may reach the store late, and the store may come back from an older
        copy. period is when the entry may have changed; without one it has changed
        now.
        """
        known = self._leaves.get(entry.leaf_id)
        if known and known.entry.started_unix_ms > entry.started_unix_ms:
            return False
        latest = known.entry if known else self._gone.get(entry.leaf_id)
        if latest and entry.is_older_than(latest):
            return False
        self._gone.pop(entry.leaf_id, None)
        leaf = _Leaf(entry, cold_until_s=now_s + entry.warmup_left_ms / 1000)
        if known and known.leaving and known.entry.incarnation == entry.incarnation:
            # The entry in the store may be older than the answer, or than the drain.
            leaf.leaving = True
            leaf.grace_until_s = known.grace_until_s
            if entry.draining and known.grace_until_s is not None:
                leaf.grace_until_s = min(
                    known.grace_until_s, self._grace_end_s(now_s, period)
                )
        elif entry.draining:
            if known and known.entry.draining:
                leaf.grace_until_s = known.grace_until_s
            else:
                leaf.grace_until_s = self._grace_end_s(now_s, period)
        if known and known.entry.service != entry.service:
            self._services[known.entry.service].pop(entry.leaf_id, None)
        self._leaves[entry.leaf_id] = leaf
        self._services.setdefault(entry.service, {})[entry.leaf_id] = leaf
        self._version_seen_s.setdefault((entry.service, entry.version), now_s)
        return True

    def remove(
        self, leaf_id: str, now_s: float, period: ChangePeriod | None = None
    ) -> None:
        """Remove a leaf whose entry is gone, at once or at the end of its grace.

        period is when the entry may have gone; without one it has gone now.
        """
        leaf = self._leaves.get(leaf_id)
        if leaf is None:
            return
        if leaf.grace_until_s is None:
            leaf.grace_until_s = (
                now_s + LEAVING_LEAF_GRACE_S
                if period is not None and period.after_outage
                else self._grace_end_s(now_s, period)
            )
        if leaf.grace_is_over(now_s) and not leaf.began_to_leave:
            self._drop(leaf_id)

    def replace(
        self, entries: Iterable[LeafEntry], now_s: float, period: ChangePeriod
    ) -> None:
        """Replace all leaves by a complete list, which changed within a period."""
        listed = {entry.leaf_id: entry for entry in entries}
        for leaf_id in self._leaves.keys() - listed.keys():
            self.remove(leaf_id, now_s, period)
            leaf = self._leaves.get(leaf_id)
            if leaf and not period.after_outage and leaf.grace_is_over(now_s):
                self._drop(leaf_id)
        for entry in listed.values():
            gone = self._gone.get(entry.leaf_id)
            if period.after_restore and gone and gone.incarnation == entry.incarnation:
                # An older copy still has leaves that are gone since.
                continue
            self.put(entry, now_s, period)

    def _grace_end_s(self, now_s: float, period: ChangePeriod | None) -> float:
        """Return the end of the grace of a leaf that has begun to leave.

        The leaf serves for a time that counts from the change in the store, not from
        the arrival of the change at this daemon.
        """
        begin_s = now_s if period is None else period.begin_s
        return min(now_s + LEAVING_LEAF_GRACE_S, begin_s + self.drain_s - SEND_MARGIN_S)

    def mark_leaving(self, entry: LeafEntry, now_s: float) -> bool:
        """Start the grace of a leaf that says that it leaves; return whether it is new.

        Its registration may change later, or be removed without a state that says so.
        """
        leaf = self._leaves.get(entry.leaf_id)
        if leaf is None or leaf.entry.incarnation != entry.incarnation or leaf.leaving:
            return False
        leaf.leaving = True
        if leaf.grace_until_s is None:
            leaf.grace_until_s = now_s + LEAVING_LEAF_GRACE_S
        return True

    def remove_misdirected(self, entry: LeafEntry) -> None:
        """Remove an incarnation whose address belongs to another leaf now."""
        known = self._leaves.get(entry.leaf_id)
        if known and known.entry.incarnation == entry.incarnation:
            self._drop(entry.leaf_id)
            del self._gone[entry.leaf_id]

    def set_domains_out(self, domains: Iterable[str]) -> None:
        """Set the failure domains whose leaves get no requests."""
        self._domains_out = frozenset(domains)

    def eligible(self, service: str, now_s: float) -> list[LeafEntry]:
        """Return the leaves that may get requests of a service now.

        Leaves within their grace are returned only if no leaf is ready.
        """
        leaves = self._services.get(service)
        if not leaves:
            return []
        ready: list[LeafEntry] = []
        leaving: list[LeafEntry] = []
        expired: list[str] = []
        for leaf_id, leaf in leaves.items():
            if leaf.grace_is_over(now_s):
                expired.append(leaf_id)
            elif leaf.entry.failure_domain in self._domains_out:
                continue
            elif leaf.grace_until_s is None:
                ready.append(leaf.entry)
            else:
                leaving.append(leaf.entry)
        for leaf_id in expired:
            if not leaves[leaf_id].began_to_leave:
                self._drop(leaf_id)
        return ready or leaving

    def without_new_versions(
        self, entries: list[LeafEntry], orders_confirmed_s: float
    ) -> list[LeafEntry]:
        """Return the leaves of versions whose order would be known.

        An order to move a service is written before leaves of the new version start.
        A version that appeared after the orders were last confirmed may have an order
        that is not known yet. All leaves are returned if no other version is there.
        """
        known = [
            entry
            for entry in entries
            if self._version_seen_s[entry.service, entry.version] <= orders_confirmed_s
        ]
        return known or entries

    def may_send(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf that was chosen before may still get a request."""
        leaf = self._leaves.get(entry.leaf_id)
        if leaf is None or leaf.entry.incarnation != entry.incarnation:
            return False
        if leaf.entry.failure_domain in self._domains_out:
            return False
        return leaf.grace_until_s is None or now_s < leaf.grace_until_s

    def is_cold(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf is in cold start."""
        leaf = self._leaves.get(entry.leaf_id)
        return leaf is not None and now_s < leaf.cold_until_s

    def entries(self) -> list[LeafEntry]:
        """Return all known leaves."""
        return [leaf.entry for leaf in self._leaves.values()]

    def _drop(self, leaf_id: str) -> None:
        entry = self._leaves.pop(leaf_id).entry
        self._gone[leaf_id] = entry
        if len(self._gone) > GONE_LEAVES_MAX:
            del self._gone[next(iter(self._gone))]
        others = self._services[entry.service]
        others.pop(leaf_id, None)
        if all(other.entry.version != entry.version for other in others.values()):
            self._version_seen_s.pop((entry.service, entry.version), None)
