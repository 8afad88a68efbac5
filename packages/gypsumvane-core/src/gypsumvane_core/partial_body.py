"""Parsing of partial answers and their merge into one page."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from pydantic_core import from_json

if TYPE_CHECKING:
    from collections.abc import Iterable


# Compared by exact type, because bool is a subclass of int.
_NUMBERS = frozenset({int, float})


@dataclass(frozen=True, slots=True)
class HitPage:
    """Hold the best hits of one service or of a query, and the total number of hits."""

    hits: list[dict[str, Any]]
    total: int


@dataclass(frozen=True, slots=True)
class LookupRecord:
    """Hold the answer of the service that holds a key."""

    found: bool
    record: dict[str, Any] | None


PartialBody = HitPage | LookupRecord


def parse_hit_page(body: bytes) -> HitPage:
    """Parse the body of a search answer of one leaf.

    Raises ValueError when the body does not follow the leaf contract.
    """
    value = _parse_object(body)
    hits = value.get("hits")
    total = value.get("total")
    if not isinstance(hits, list) or type(total) is not int or total < 0:
        raise ValueError("hits is not an array or total not a non-negative integer")
    for hit in hits:
        if type(hit) is not dict:
            raise ValueError("hit is not an object")
        if type(hit.get("id")) is not str or type(hit.get("score")) not in _NUMBERS:
            raise ValueError("hit without a string id or a numeric score")
    return HitPage(hits=hits, total=total)


def parse_lookup_record(body: bytes) -> LookupRecord:
    """Parse the body of a lookup answer of one leaf.

    Raises ValueError when the body does not follow the leaf contract.
    """
    value = _parse_object(body)
    found = value.get("found")
    record = value.get("record")
    if not isinstance(found, bool):
        raise ValueError("found is not a boolean")
    if found and not isinstance(record, dict):
        raise ValueError("record is not an object although found is true")
    return LookupRecord(found=found, record=record if found else None)


def merge_hit_pages(pages: Iterable[HitPage], *, limit: int, offset: int) -> HitPage:
    """Merge pages into one, ordered by descending score, then by id."""
    total = 0
    hits: list[dict[str, Any]] = []
    for page in pages:
        total += page.total
        hits += page.hits
    wanted = offset + limit
    if len(hits) > wanted:
        # Sorting only the scores first leaves few hits to sort by score and id.
        scores = sorted([hit["score"] for hit in hits], reverse=True)
        lowest = scores[wanted - 1]
        hits = [hit for hit in hits if hit["score"] >= lowest]
    hits.sort(key=_rank)
    return HitPage(hits=hits[offset:wanted], total=total)


def _rank(hit: dict[str, Any]) -> tuple[float, str]:
    return -hit["score"], hit["id"]


def _parse_object(body: bytes) -> dict[str, Any]:
    value = from_json(body, allow_inf_nan=False)
    if not isinstance(value, dict):
        raise ValueError("body is not a JSON object")
    return value
