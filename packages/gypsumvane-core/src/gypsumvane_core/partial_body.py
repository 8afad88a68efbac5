"""Bodies of partial answers: parsed once, merged into one page."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest
from typing import TYPE_CHECKING
from typing import Any

from pydantic_core import from_json

if TYPE_CHECKING:
    from collections.abc import Iterable


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
        if not isinstance(hit, dict) or not _is_ranked(hit):
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
    best = nsmallest(offset + limit, hits, key=_rank)
    return HitPage(hits=best[offset:], total=total)


def _rank(hit: dict[str, Any]) -> tuple[float, str]:
    return -hit["score"], hit["id"]


def _parse_object(body: bytes) -> dict[str, Any]:
    value = from_json(body, allow_inf_nan=False)
    if not isinstance(value, dict):
        raise ValueError("the body is not an object")
    return value


def _is_ranked(hit: dict[str, Any]) -> bool:
    return type(hit.get("id")) is str and type(hit.get("score")) in (int, float)
