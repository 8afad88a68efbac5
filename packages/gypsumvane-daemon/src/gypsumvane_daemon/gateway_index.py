"""What the queries of one index share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.document_models import MoveState
from gypsumvane_core.extra_budget import ExtraBudget
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.index_routes import IndexRoutes
from gypsumvane_core.index_routes import VersionChoice

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.gone_snapshots import GoneSnapshots
    from gypsumvane_daemon.gateway_ports import BriefsPort

# Briefs arrive every 500 ms, so routes this old are hardly staler than they
# are; computing them takes longer than the rest of a query.
ROUTES_KEPT_S = 0.05


@dataclass(frozen=True, slots=True)
class _KeptRoutes:
    routes: IndexRoutes
    until_s: float


class GatewayIndex:
    """Keep budgets, delays, policy and routes of an index."""

    def __init__(
        self,
        name: str,
        *,
        clock: Clock,
        catalogue: DocumentCatalogue,
        briefs: BriefsPort,
        gone: GoneSnapshots,
    ) -> None:
        self.name = name
        self.budget = ExtraBudget()
        self.delays = HedgeDelays()
        self._clock = clock
        self._catalogue = catalogue
        self._briefs = briefs
        self._gone = gone
        self._policy: Policy | None = None
        self._routes: dict[VersionChoice, _KeptRoutes] = {}

    @property
    def document(self) -> IndexDocument | None:
        """Return the description of the index."""
        return self._catalogue.index(self.name)

    @property
    def policy(self) -> Policy:
        """Return the policy in force."""
        if self._policy is None:
            self._policy = self._catalogue.fleet().policy(index=self.name)
        return self._policy

    def forget(self) -> None:
        """Drop what was derived from documents, because one has changed."""
        self._policy = None
        self._routes.clear()
        document = self.document
        if document is not None:
            self.delays.keep_only({leaf.service for leaf in document.leaves})

    def version_choice(self, version: str | None) -> VersionChoice:
        """Return a version and the version that it must not be replaced by."""
        move = self._catalogue.move(self.name)
        if version is None or move is None or version == move.to_version:
            return VersionChoice(version=version)
        return VersionChoice(version=version, avoided=move.to_version)

    def extra_routes(
        self, document: IndexDocument, version: VersionChoice
    ) -> IndexRoutes | None:
        """Return the routes of hedges and retries where they differ.

        A request for the new version of a running move is hedged and repeated
        at the old version.
        """
        move = self._catalogue.move(self.name)
        if move is None or move.state is not MoveState.RUNNING:
            return None
        if version.version != move.to_version:
            return None
        return self.routes(document, self.version_choice(move.from_version))

    def routes(self, document: IndexDocument, version: VersionChoice) -> IndexRoutes:
        """Return the routes, computed again when they are old."""
        kept = self._routes.get(version)
        if kept is not None and kept.until_s > self._clock.monotonic_s():
            return kept.routes
        return self.fresh_routes(document, version)

    def fresh_routes(
        self, document: IndexDocument, version: VersionChoice
    ) -> IndexRoutes:
        """Compute the routes again."""
        routes = IndexRoutes(
            document,
            version=version,
            domains_out=self._catalogue.domains_out(),
            brief_of=self._briefs.get,
            is_gone=self._gone.is_gone,
        )
        until_s = self._clock.monotonic_s() + ROUTES_KEPT_S
        self._routes[version] = _KeptRoutes(routes=routes, until_s=until_s)
        return routes
