"""Choice of the service and the leaves for a non-idempotent request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from gypsumvane_core.key_service import service_of_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.messages import UpstreamBrief

_STATE_RANK = {"warm": 0, "warming": 1, "cold": 2, "unknown": 3, "": 3}
_LAST_RANK = 4


def newest_service_of_key(index: IndexDocument, key: str) -> str | None:
    """Return the service of a key in the newest partition map."""
    if not index.partition_maps:
        return None
    services = index.partition_maps[max(index.partition_maps)]
    return service_of_key(key, services) if services else None


def key_fraction(key: str) -> float:
    """Hash a key to a number in [0, 1), the same for each attempt with the key."""
    return xxh64_intdigest(key.encode(), seed=2) / 2**64


@dataclass(frozen=True, slots=True)
class LeafRanking:
    """Rank the leaves of a service for a run."""

    domains_out: AbstractSet[str]
    brief_of: Callable[[str], UpstreamBrief | None]

    def candidates(
        self, index: IndexDocument, service: str, versions: list[str] | None
    ) -> list[LeafModel]:
        """Return the usable leaves, most preferred first.

        ``versions`` lists the versions that may run the request, the preferred
        one first; None allows all.
        """
        usable = [
            leaf
            for leaf in index.leaves
            if leaf.service == service
            and self._may_receive(leaf)
            and (versions is None or leaf.version in versions)
        ]
        return sorted(usable, key=lambda leaf: self._rank(leaf, versions))

    def _may_receive(self, leaf: LeafModel) -> bool:
        if leaf.leaving or leaf.failure_domain in self.domains_out:
            return False
        brief = self.brief_of(leaf.leaf_id)
        return brief is None or brief.state != "draining"

    def _rank(
        self, leaf: LeafModel, versions: list[str] | None
    ) -> tuple[int, int, float, str]:
        brief = self.brief_of(leaf.leaf_id)
        version_rank = versions.index(leaf.version) if versions else 0
        if brief is None:
            return (version_rank, _STATE_RANK[""], 0.0, leaf.leaf_id)
        state_rank = _STATE_RANK.get(brief.state, _LAST_RANK)
        waiting_ms = brief.latency_ms * (1 + brief.queued)
        return (version_rank, state_rank, waiting_ms, leaf.leaf_id)
