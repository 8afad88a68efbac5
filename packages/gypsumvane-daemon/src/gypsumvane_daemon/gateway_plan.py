"""Immutable plan of one query: target, routes and deadline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.index_routes import IndexRoutes
    from gypsumvane_core.index_routes import VersionChoice
    from gypsumvane_core.partial_body import PartialBody
    from gypsumvane_core.priority import Priority
    from gypsumvane_daemon.gateway_index import GatewayIndex


@dataclass(frozen=True, slots=True)
class QueryKind:
    """Describe how searches and lookups differ."""

    route: str
    priority: Priority
    parse_body: Callable[[bytes], PartialBody]
    # Whether results must name the snapshot; upstreams may omit it for lookups.
    snapshot_required: bool


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Decisions made before the first attempt of a query."""

    kind: QueryKind
    index: GatewayIndex
    document: IndexDocument
    policy: Policy
    version: VersionChoice
    routes: IndexRoutes
    # Routes of hedges and retries, None if they equal ``routes``.
    extra_routes: IndexRoutes | None
    answer_by_s: float
    caller_id: str
    body: bytes
    services_of: Callable[[tuple[str, ...]], Iterable[str]]
