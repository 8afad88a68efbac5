"""Requests that the root role scatters."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Ask all services of an index; the deadline is on the passed clock."""

    request_id: str
    index: str
    query: str
    deadline_s: float
    limit: int = 10
    offset: int = 0
    caller_id: str = ""


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Ask the one service of an index that holds a key."""

    request_id: str
    index: str
    key: str
    deadline_s: float
    caller_id: str = ""
