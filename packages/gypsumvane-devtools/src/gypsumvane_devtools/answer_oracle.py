"""The hits that a true answer to a search holds."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict

from gypsumvane_devtools.listing import Listing


class AnswerOracle(BaseModel):
    """Know a listing and the services that hold it in each snapshot."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    listing: Listing
    partition_maps: dict[int, list[str]]

    def is_correct(self, values: dict[str, Any], query: str, *, limit: int) -> bool:
        """Tell whether an answer holds the hits of the services it counts.

        A hit of a service that is left out, or of another query, is wrong, and
        so are a missing hit and a count of services that differs from the map.
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
    """Return the identifiers and the number of the hits of some services."""
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
