"""Snapshot and candidate leaves of an index at one point in time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.reason import Reason

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.messages import UpstreamBrief

STATES_WITHOUT_WORK = frozenset({"draining", "unavailable"})


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Name the version that a request uses and the one that it must avoid."""

    version: str | None = None
    excluded: str | None = None
    # Whether services without a leaf of the version get no substitute of another one.
    strict: bool = False


@dataclass(frozen=True, slots=True)
class MoveChoice:
    """Name the version that a request uses and the old one while it still serves."""

    version: VersionChoice = VersionChoice()
    # The old version of a running move while it still gets requests. Hedges and
    # retries of requests for the new version are sent to it.
    old: VersionChoice | None = None


@dataclass(frozen=True, slots=True)
class Candidates:
    """List the leaves known to serve a snapshot and those that may serve it."""

    known: list[LeafModel]
    possible: list[LeafModel]


@dataclass(frozen=True, slots=True)
class SnapshotChoice:
    """Describe a snapshot and how many of its services can serve it."""

    snapshot: int
    services: tuple[str, ...]
    # Number of services with a leaf known to serve the snapshot.
    served: int
    # Number of services with a leaf that may serve the snapshot.
    possible: int

    @property
    def full(self) -> bool:
        """Return whether every service has a leaf known to serve it."""
        return self.served == len(self.services)


class IndexRoutes:
    """Select the snapshot of a request and the leaves that may serve it."""

    def __init__(
        self,
        index: IndexDocument,
        *,
        version: VersionChoice,
        domains_out: frozenset[str],
        brief_of: Callable[[str], UpstreamBrief | None],
        is_gone: Callable[[str, int], bool],
    ) -> None:
        self.index = index
        self._domains_out = domains_out
        self._brief_of = brief_of
        self._is_gone = is_gone
        self._usable = self._group_usable(version)
        self._candidates: dict[tuple[str, int], Candidates] = {}
        self.choice = self._choose()

    def candidates(self, service: str, snapshot: int) -> Candidates:
        """Return the leaves of a service that may serve a snapshot."""
        key = (service, snapshot)
        found = self._candidates.get(key)
        if found is None:
            found = self._candidates[key] = self._find_candidates(service, snapshot)
        return found

    def reason_without_leaf(self, service: str) -> Reason:
        """Return why a service has no usable leaf."""
        leaves = [leaf for leaf in self.index.leaves if leaf.service == service]
        if any(leaf.failure_domain in self._domains_out for leaf in leaves):
            return Reason.DOMAIN_OUT
        if any(leaf.leaving for leaf in leaves):
            return Reason.UPSTREAM_LEAVING
        if self._usable.get(service):
            return Reason.SNAPSHOT_GONE
        return Reason.UPSTREAM_UNAVAILABLE

    def _group_usable(self, version: VersionChoice) -> dict[str, list[LeafModel]]:
        by_service: dict[str, list[LeafModel]] = {}
        for leaf in self.index.leaves:
            if self._accepts_work(leaf):
                by_service.setdefault(leaf.service, []).append(leaf)
        return {
            service: _of_version(leaves, version)
            for service, leaves in by_service.items()
        }

    def _accepts_work(self, leaf: LeafModel) -> bool:
        if leaf.leaving or leaf.failure_domain in self._domains_out:
            return False
        brief = self._brief_of(leaf.leaf_id)
        return brief is None or brief.state not in STATES_WITHOUT_WORK

    def _find_candidates(self, service: str, snapshot: int) -> Candidates:
        possible = [
            leaf
            for leaf in self._usable.get(service, ())
            if self._may_serve(leaf, snapshot)
        ]
        known = [leaf for leaf in possible if self._serves(leaf, snapshot)]
        return Candidates(known=known, possible=possible)

    def _may_serve(self, leaf: LeafModel, snapshot: int) -> bool:
        if self._is_gone(leaf.leaf_id, snapshot):
            return False
        brief = self._brief_of(leaf.leaf_id)
        return brief is None or not brief.snapshots or snapshot in brief.snapshots

    def _serves(self, leaf: LeafModel, snapshot: int) -> bool:
        brief = self._brief_of(leaf.leaf_id)
        return brief is not None and snapshot in brief.snapshots

    def _choose(self) -> SnapshotChoice | None:
        best: SnapshotChoice | None = None
        for snapshot in sorted(self.index.partition_maps, reverse=True):
            choice = self._evaluate(snapshot)
            if choice.full and choice.services:
                return choice
            if best is None or _coverage(choice) > _coverage(best):
                best = choice
        return best

    def _evaluate(self, snapshot: int) -> SnapshotChoice:
        # A repeated name in the partition map is still one service.
        services = tuple(dict.fromkeys(self.index.partition_maps[snapshot]))
        candidates = [self.candidates(service, snapshot) for service in services]
        return SnapshotChoice(
            snapshot=snapshot,
            services=services,
            served=sum(1 for c in candidates if c.known),
            possible=sum(1 for c in candidates if c.possible),
        )


def _coverage(choice: SnapshotChoice) -> tuple[float, float]:
    count = max(len(choice.services), 1)
    return choice.served / count, choice.possible / count


def _of_version(leaves: Iterable[LeafModel], choice: VersionChoice) -> list[LeafModel]:
    if choice.version is None:
        return list(leaves)
    matching = [leaf for leaf in leaves if leaf.version == choice.version]
    if choice.strict:
        return matching
    return matching or [leaf for leaf in leaves if leaf.version != choice.excluded]
