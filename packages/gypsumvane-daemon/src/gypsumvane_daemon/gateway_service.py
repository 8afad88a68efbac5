"""Root role: scatter queries to the homes of leaves and gather the results."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.document_models import IndexKind
from gypsumvane_core.gone_snapshots import GoneSnapshots
from gypsumvane_core.key_service import service_of_key
from gypsumvane_core.leaf_selection import LeafSelector
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.outcome import Refused
from gypsumvane_core.partial_body import parse_hit_page
from gypsumvane_core.partial_body import parse_lookup_record
from gypsumvane_core.priority import Priority
from gypsumvane_core.query_state import QueryState
from gypsumvane_core.reason import Reason
from gypsumvane_core.scatter import Scatter
from gypsumvane_core.scatter import ScatterContext
from gypsumvane_daemon.gateway_answers import lookup_answer
from gypsumvane_daemon.gateway_answers import search_answer
from gypsumvane_daemon.gateway_answers import unanswered_lookup
from gypsumvane_daemon.gateway_answers import unanswered_search
from gypsumvane_daemon.gateway_index import GatewayIndex
from gypsumvane_daemon.gateway_plan import QueryKind
from gypsumvane_daemon.gateway_plan import QueryPlan
from gypsumvane_daemon.gateway_query import GatewayDependencies
from gypsumvane_daemon.gateway_query import GatewayQuery
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.query_answer import LookupAnswer
    from gypsumvane_core.query_answer import SearchAnswer
    from gypsumvane_core.query_attempt import Attempt
    from gypsumvane_core.query_request import LookupRequest
    from gypsumvane_core.query_request import SearchRequest
    from gypsumvane_daemon.gateway_ports import DocumentsPort
    from gypsumvane_daemon.gateway_ports import HomesPort
    from gypsumvane_daemon.gateway_ports import MovesPort
    from gypsumvane_daemon.gateway_ports import PeersPort
    from gypsumvane_daemon.gateway_ports import UpstreamsPort
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel

SEARCH = QueryKind(
    route="search",
    priority=Priority.SEARCH,
    parse_body=parse_hit_page,
    snapshot_required=True,
)
LOOKUP = QueryKind(
    route="lookup",
    priority=Priority.LOOKUP,
    parse_body=parse_lookup_record,
    snapshot_required=False,
)


class GatewayService(Service):
    """Run searches over all services of an index and lookups in one of them."""

    name = "gateway"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._gone_snapshots = GoneSnapshots(clock)
        self._indexes: dict[str, GatewayIndex] = {}
        self._query_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._metrics: MetricsService
        self._documents: DocumentsPort
        self._moves: MovesPort
        self._upstreams: UpstreamsPort
        self._selector: LeafSelector
        self._deps: GatewayDependencies

    async def start(self, kernel: Kernel) -> None:
        """Resolve dependencies and subscribe to document changes."""
        self._metrics = kernel.get(MetricsService)
        self._documents = cast("DocumentsPort", kernel.find("documents"))
        self._moves = cast("MovesPort", kernel.find("moves"))
        self._upstreams = cast("UpstreamsPort", kernel.find("upstreams"))
        self._selector = LeafSelector(self._upstreams.briefs.get, self._rng)
        self._deps = GatewayDependencies(
            own_vm_id=self._identity.vm_id,
            clock=self._clock,
            peers=cast("PeersPort", kernel.find("peers")),
            homes=cast("HomesPort", kernel.find("membership")),
            upstreams=self._upstreams,
            tasks=self._tasks,
        )
        self._documents.on_change(self._on_document)

    async def stop(self) -> None:
        """Cancel the tasks that still wait for late results."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Query every service of one snapshot and merge the hits."""
        plan = self._plan_search(request)
        if isinstance(plan, Refused):
            return unanswered_search(request, plan)
        answer = search_answer(request, await self._run(plan))
        self._count_answer("search", answer.outcome)
        return answer

    async def lookup(self, request: LookupRequest) -> LookupAnswer:
        """Query the service that holds the key."""
        plan = self._plan_lookup(request)
        if isinstance(plan, Refused):
            return unanswered_lookup(request, plan)
        answer = lookup_answer(request, await self._run(plan))
        self._count_answer("lookup", answer.outcome)
        return answer

    def policy(self, index: str) -> Policy:
        """Return the policy in force for an index."""
        return self._index(index).policy

    def service_of(self, index: str, key: str) -> str:
        """Return the service that holds a key, empty without a partition map."""
        document = self._index(index).document
        if document is None or not document.partition_maps:
            return ""
        services = document.partition_maps[max(document.partition_maps)]
        return service_of_key(key, services) if services else ""

    def _plan_search(self, request: SearchRequest) -> QueryPlan | Refused:
        index = self._index(request.index)
        wanted = request.offset + request.limit
        if wanted > index.policy.page_size_max:
            return Refused(
                reason=Reason.BAD_REQUEST,
                message=f"offset plus limit exceeds {index.policy.page_size_max}",
            )
        body = json.dumps({"query": request.query, "limit": wanted}).encode()
        return self._plan(SEARCH, index, request, body, lambda services: services)

    def _plan_lookup(self, request: LookupRequest) -> QueryPlan | Refused:
        body = json.dumps({"key": request.key}).encode()
        return self._plan(
            LOOKUP,
            self._index(request.index),
            request,
            body,
            lambda services: (service_of_key(request.key, services),),
        )

    def _plan(
        self,
        kind: QueryKind,
        index: GatewayIndex,
        request: SearchRequest | LookupRequest,
        body: bytes,
        services_of: Callable[[tuple[str, ...]], Iterable[str]],
    ) -> QueryPlan | Refused:
        document = self._validate_document(kind, index)
        if isinstance(document, Refused):
            return document
        policy = index.policy
        now_s = self._clock.monotonic_s()
        deadline_s = min(request.deadline_s, now_s + policy.deadline_ms / 1000)
        answer_by_s = deadline_s - policy.answer_margin_ms / 1000
        if answer_by_s <= now_s:
            return Refused(
                reason=Reason.DEADLINE, message="no time is left before the deadline"
            )
        draw = self._rng.random()
        choice = self._moves.choose_version(index.name, kind.route, draw)
        routes = index.routes(document, choice.version)
        if routes.choice is None or not routes.choice.services:
            return Refused(
                reason=Reason.NO_SNAPSHOT, message="the index has no partition map"
            )
        return QueryPlan(
            kind=kind,
            index=index,
            document=document,
            policy=policy,
            version=choice.version,
            routes=routes,
            extra_routes=index.extra_routes(document, choice),
            answer_by_s=answer_by_s,
            caller_id=request.caller_id,
            body=body,
            services_of=services_of,
        )

    def _validate_document(
        self, kind: QueryKind, index: GatewayIndex
    ) -> IndexDocument | Refused:
        if not self._documents.ready:
            return Refused(
                reason=Reason.NOT_READY, message="the configuration is not loaded yet"
            )
        document = index.document
        if document is None:
            return Refused(
                reason=Reason.UNKNOWN_INDEX, message=f"no index named {index.name}"
            )
        if kind is SEARCH and document.kind is not IndexKind.SEARCH:
            return Refused(
                reason=Reason.BAD_REQUEST,
                message=f"index {index.name} does not support searches",
            )
        return document

    async def _run(self, plan: QueryPlan) -> QueryState:
        self._query_count += 1
        query_id = f"{self._identity.incarnation}-{self._query_count}"
        state = QueryState(
            query_id,
            parse_body=plan.kind.parse_body,
            snapshot_required=plan.kind.snapshot_required,
        )
        scatter = Scatter(
            state,
            policy=plan.policy,
            answer_by_s=plan.answer_by_s,
            routes=plan.routes,
            refresh_routes=lambda: plan.index.compute_routes(
                plan.index.document or plan.document, plan.version
            ),
            services_of=plan.services_of,
            context=self._scatter_context(plan),
            extra_routes=plan.extra_routes,
        )
        template = PartialBatch(
            query_id=query_id,
            index=plan.index.name,
            route=plan.kind.route,
            priority=plan.kind.priority,
            caller_id=plan.caller_id,
            query=plan.body,
        )
        await GatewayQuery(scatter, template=template, deps=self._deps).run()
        return state

    def _scatter_context(self, plan: QueryPlan) -> ScatterContext:
        def record(attempt: Attempt, failed: bool, latency_ms: float) -> None:
            self._moves.record(
                plan.index.name,
                plan.kind.route,
                attempt.leaf.version,
                failed=failed,
                latency_ms=latency_ms,
            )

        return ScatterContext(
            selector=self._selector,
            budget=plan.index.budget,
            delays=plan.index.delays,
            gone=self._gone_snapshots,
            count=self._count,
            record=record if plan.version.version is not None else _discard_evidence,
        )

    def _index(self, name: str) -> GatewayIndex:
        index = self._indexes.get(name)
        if index is not None:
            return index
        index = GatewayIndex(
            name,
            clock=self._clock,
            catalogue=self._documents.catalogue,
            briefs=self._upstreams.briefs,
            gone_snapshots=self._gone_snapshots,
        )
        # The name comes from the caller; only configured indexes are cached.
        if index.document is not None:
            self._indexes[name] = index
        return index

    def _on_document(self, name: str) -> None:
        for index in self._indexes.values():
            index.invalidate()

    def _count(self, counter: str, reason: str) -> None:
        self._metrics.count(counter, reason=reason)

    def _count_answer(self, route: str, outcome: str) -> None:
        self._metrics.count("gateway_answers", route=route, outcome=outcome)


def _discard_evidence(attempt: Attempt, failed: bool, latency_ms: float) -> None:
    """Discard the result, because the index has no version move."""
