"""State shared by the queries of one index."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.extra_attempt_budget import ExtraAttemptBudget
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.index_routes import IndexRoutes

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.gone_snapshots import GoneSnapshots
    from gypsumvane_core.index_routes import MoveChoice
    from gypsumvane_core.index_routes import VersionChoice
    from gypsumvane_daemon.gateway_ports import BriefsPort

# Computing the routes takes longer than the rest of a query. Upstream briefs arrive
# every 500 ms, so routes cached for this long are hardly more out of date.
ROUTES_CACHE_S = 0.05


@dataclass(frozen=True, slots=True)
class _CachedRoutes:
    routes: IndexRoutes
    expires_s: float


class GatewayIndex:
    """Hold the budget, hedge delays, policy and cached routes of an index."""

    def __init__(
        self,
        name: str,
        *,
        clock: Clock,
        catalogue: DocumentCatalogue,
        briefs: BriefsPort,
        gone_snapshots: GoneSnapshots,
    ) -> None:
        self.name = name
        self.budget = ExtraAttemptBudget()
        self.delays = HedgeDelays()
        self._clock = clock
        self._catalogue = catalogue
        self._briefs = briefs
        self._gone_snapshots = gone_snapshots
        self._policy: Policy | None = None
        self._routes: dict[VersionChoice, _CachedRoutes] = {}

    @property
    def document(self) -> IndexDocument | None:
        """Return the index document, None for an unknown index."""
        return self._catalogue.index(self.name)

    @property
    def policy(self) -> Policy:
        """Return the policy in force."""
        if self._policy is None:
            self._policy = self._catalogue.fleet().policy(index=self.name)
        return self._policy

    def invalidate(self) -> None:
        """Discard values derived from documents after one has changed."""
        self._policy = None
        self._routes.clear()
        document = self.document
        if document is not None:
            self.delays.keep_only({leaf.service for leaf in document.leaves})

    def extra_routes(
        self, document: IndexDocument, move_choice: MoveChoice
    ) -> IndexRoutes | None:
        """Return the routes of hedges and retries, None for those of the query.

        During a version move they are the routes of the old version.
        """
        if move_choice.old is None or move_choice.old == move_choice.version:
            return None
        return self.routes(document, move_choice.old)

    def routes(self, document: IndexDocument, version: VersionChoice) -> IndexRoutes:
        """Return the routes of a version, from the cache while it is valid."""
        cached = self._routes.get(version)
        if cached is not None and cached.expires_s > self._clock.monotonic_s():
            return cached.routes
        return self.compute_routes(document, version)

    def compute_routes(
        self, document: IndexDocument, version: VersionChoice
    ) -> IndexRoutes:
        """Compute the routes of a version and cache them."""
        routes = IndexRoutes(
            document,
            version=version,
            domains_out=self._catalogue.domains_out(),
            brief_of=self._briefs.get,
            is_gone=self._gone_snapshots.is_gone,
        )
        expires_s = self._clock.monotonic_s() + ROUTES_CACHE_S
        self._routes[version] = _CachedRoutes(routes=routes, expires_s=expires_s)
        return routes
