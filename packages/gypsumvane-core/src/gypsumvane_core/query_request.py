"""Requests that a root sends to the services of an index."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Search all services of an index; the deadline is on the injected clock."""

    request_id: str
    index: str
    query: str
    deadline_s: float
    limit: int = 10
    offset: int = 0
    caller_id: str = ""


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Look up a key at the service of an index that holds it."""

    request_id: str
    index: str
    key: str
    deadline_s: float
    caller_id: str = ""
