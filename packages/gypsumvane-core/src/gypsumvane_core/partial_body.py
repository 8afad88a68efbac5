"""Bodies of partial answers: parsed once, merged into one page."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from pydantic_core import from_json

if TYPE_CHECKING:
    from collections.abc import Iterable


# Not isinstance, because a bool is an int too.
_NUMBERS = frozenset({int, float})


@dataclass(frozen=True, slots=True)
class HitPage:
    """Hold the best hits of one service or of a whole query."""

    hits: list[dict[str, Any]]
    total: int


@dataclass(frozen=True, slots=True)
class LookupRecord:
    """Hold the answer of the service that owns a key."""

    found: bool
    record: dict[str, Any] | None


PartialBody = HitPage | LookupRecord


def parse_hit_page(body: bytes) -> HitPage:
    """Parse the hits of one leaf.

    Raises ValueError when the body is not of the contract's form.
    """
    value = _parse_object(body)
    hits = value.get("hits")
    total = value.get("total")
    if not isinstance(hits, list) or type(total) is not int or total < 0:
        raise ValueError("hits or total is missing")
    for hit in hits:
        if type(hit) is not dict:
            raise ValueError("a hit is not an object")
        if type(hit.get("id")) is not str or type(hit.get("score")) not in _NUMBERS:
            raise ValueError("a hit has no id or no score")
    return HitPage(hits=hits, total=total)


def parse_lookup_record(body: bytes) -> LookupRecord:
    """Parse the record of one leaf.

    Raises ValueError when the body is not of the contract's form.
    """
    value = _parse_object(body)
    found = value.get("found")
    record = value.get("record")
    if not isinstance(found, bool):
        raise ValueError("found is missing")
    if found and not isinstance(record, dict):
        raise ValueError("record is missing")
    return LookupRecord(found=found, record=record if found else None)


def merge_hit_pages(pages: Iterable[HitPage], *, limit: int, offset: int) -> HitPage:
    """Return one page of all hits, by descending score, then by id."""
    total = 0
    hits: list[dict[str, Any]] = []
    for page in pages:
        total += page.total
        hits += page.hits
    wanted = offset + limit
    if len(hits) > wanted:
        # Sorting numbers first leaves few hits to compare by score and id.
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
        raise ValueError("the body is not an object")
    return value
