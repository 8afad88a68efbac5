"""Incarnations known to have ended for good."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(slots=True)
class GoneIncarnations:
    """Record gone incarnations and when this daemon learned of each."""

    # Longest time for which a call can still run at a leaf after its process ended.
    call_max_s: float
    known_at_s: dict[str, float] = field(default_factory=dict)
    # Gone incarnations whose last calls have ended as well.
    ended: set[str] = field(default_factory=set)

    def add(self, incarnations: Iterable[str], now_s: float) -> list[str]:
        """Add gone incarnations and return those that were not known."""
        new = [i for i in incarnations if i and i not in self.known_at_s]
        for incarnation in new:
            self.known_at_s[incarnation] = now_s
        return new

    def update_ended(self, now_s: float) -> bool:
        """Add incarnations whose last calls have ended to ``ended``.

        Returns whether there were any.
        """
        if len(self.ended) == len(self.known_at_s):
            return False
        before = len(self.ended)
        for incarnation, known_at_s in self.known_at_s.items():
            if now_s - known_at_s >= self.call_max_s:
                self.ended.add(incarnation)
        return len(self.ended) > before

    def incarnations(self) -> frozenset[str]:
        """Return all gone incarnations."""
        return frozenset(self.known_at_s)

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self.known_at_s


@dataclass(slots=True)
class LiveList:
    """Track the platform's listings of running VMs."""

    listing: int = -1
    listed: frozenset[str] = frozenset()
    # VMs that any listing contained.
    ever_listed: set[str] = field(default_factory=set)

    def apply(self, listing: int, vm_ids: Iterable[str]) -> bool:
        """Apply a listing unless it is older than the known one."""
        if listing < self.listing:
            return False
        self.listing = listing
        self.listed = frozenset(vm_ids)
        self.ever_listed |= self.listed
        return True

    def disappeared(self, vm_id: str) -> bool:
        """Return whether the VM was listed before and no longer is."""
        return vm_id in self.ever_listed and vm_id not in self.listed
