"""Expected results of searches over a generated listing."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict

from gypsumvane_devtools.listing import Listing


class AnswerOracle(BaseModel):
    """Check answers against a listing and its partition map of each snapshot."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    listing: Listing
    partition_maps: dict[int, list[str]]

    def is_correct(self, values: dict[str, Any], query: str, *, limit: int) -> bool:
        """Return whether an answer has exactly the hits of the services it covers.

        It is wrong if it has a hit of a left-out service or of another query,
        misses a hit, or counts other services than the partition map has.
        """
        services = self.partition_maps[values["snapshot"]]
        coverage = values["coverage"]
        left_out = {entry["service"] for entry in coverage["left_out"]}
        if coverage["asked"] != len(services) or not left_out <= set(services):
            return False
        found = [hit["id"] for hit in values["hits"]]
        expected = expected_page(
            self.listing,
            query,
            values["snapshot"],
            limit,
            tuple(services),
            frozenset(left_out),
        )
        return (found, values["total"]) == expected


@lru_cache(maxsize=1024)
def expected_page(
    listing: Listing,
    query: str,
    snapshot: int,
    limit: int,
    services: tuple[str, ...],
    left_out: frozenset[str],
) -> tuple[list[str], int]:
    """Return the merged hits, best first, and their total without `left_out`."""
    pages = [
        listing.search_service(
            query, snapshot=snapshot, limit=limit, service=service, services=services
        )
        for service in services
        if service not in left_out
    ]
    hits = [hit for page in pages for hit in page.hits]
    hits.sort(key=lambda hit: (-hit.score, hit.id))
    return [hit.id for hit in hits[:limit]], sum(page.total for page in pages)
