"""The fixed part of one query: what is asked, where and until when."""

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
    """Tell searches and lookups apart."""

    route: str
    priority: Priority
    parse_body: Callable[[bytes], PartialBody]
    # A lookup's upstream may leave the snapshot out.
    snapshot_required: bool


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Hold what was decided before the first attempt."""

    kind: QueryKind
    index: GatewayIndex
    document: IndexDocument
    policy: Policy
    version: VersionChoice
    routes: IndexRoutes
    # Routes of hedges and retries where they differ.
    extra_routes: IndexRoutes | None
    answer_by_s: float
    caller_id: str
    body: bytes
    services_of: Callable[[tuple[str, ...]], Iterable[str]]
