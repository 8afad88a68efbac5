"""Scatter-gather logic of one query: selection of leaves, hedges, retries, end."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

from gypsumvane_core.query_attempt import Attempt
from gypsumvane_core.query_attempt import AttemptKind
from gypsumvane_core.query_attempt import AttemptState
from gypsumvane_core.query_state import Disposition
from gypsumvane_core.query_state import verdict_of
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.extra_attempt_budget import ExtraAttemptBudget
    from gypsumvane_core.gone_snapshots import GoneSnapshots
    from gypsumvane_core.hedge_delay import HedgeDelays
    from gypsumvane_core.index_routes import IndexRoutes
    from gypsumvane_core.leaf_selection import LeafSelector
    from gypsumvane_core.messages import PartialResult
    from gypsumvane_core.query_state import QueryState
    from gypsumvane_core.query_state import ServicePart

# Refusals by a home or by this daemon, before a request reached an upstream.
REFUSED_BEFORE_UPSTREAM = frozenset(
    {
        Reason.NOT_HOME,
        Reason.NO_HOME,
        Reason.PEER_UNAVAILABLE,
        Reason.QUEUE_FULL,
        Reason.STOPPING,
        Reason.DOMAIN_OUT,
        Reason.UPSTREAM_LEAVING,
        Reason.UPSTREAM_UNAVAILABLE,
        Reason.UPSTREAM_COLD,
    }
)

# Failures that do not indicate a fault of the leaf.
UNRELATED_TO_LEAF = REFUSED_BEFORE_UPSTREAM | {
    Reason.SNAPSHOT_GONE,
    Reason.CANCELLED,
    Reason.DEADLINE,
    Reason.PEER_LOST,
    Reason.BAD_REQUEST,
}
# Refusals while the home of a leaf changes; the same leaf may be asked again.
HANDOVER_REASONS = frozenset(
    {Reason.NOT_HOME, Reason.NO_HOME, Reason.PEER_UNAVAILABLE, Reason.STOPPING}
)
# If all leaves of a service are changing homes, the handover lasts until the daemons
# know the new view and are connected.
REVISIT_DELAY_S = 0.025
REVISITS_MAX = 12


@dataclass(slots=True)
class ScatterActions:
    """List the attempts to send and to cancel."""

    send: list[Attempt] = field(default_factory=list)
    cancel: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ScatterContext:
    """Hold what all queries of an index share."""

    selector: LeafSelector
    budget: ExtraAttemptBudget
    delays: HedgeDelays
    gone: GoneSnapshots
    # Called with the name of a counter and a reason.
    count: Callable[[str, str], None]
    # Called with an attempt, whether it failed and its latency in milliseconds.
    record: Callable[[Attempt, bool, float], None]


class Scatter:
    """Event-driven scatter-gather of one query, without I/O."""

    def __init__(
        self,
        state: QueryState,
        *,
        policy: Policy,
        answer_by_s: float,
        routes: IndexRoutes,
        refresh_routes: Callable[[], IndexRoutes],
        services_of: Callable[[tuple[str, ...]], Iterable[str]],
        context: ScatterContext,
        extra_routes: IndexRoutes | None = None,
    ) -> None:
        self.state = state
        self.answer_by_s = answer_by_s
        self._policy = policy
        self._routes = routes
        # Leaves for hedges and retries. A version under test gets only first attempts,
        # so that its share of all calls stays as scheduled.
        self._extra_routes = extra_routes
        self._refresh_routes = refresh_routes
        self._services_of = services_of
        self._context = context
        self._hedge_times: list[tuple[float, str]] = []
        self._revisit_times: list[tuple[float, str]] = []

    @property
    def done(self) -> bool:
        """Return whether no further event can improve the answer."""
        return self.state.outstanding == 0 and not self._revisit_times

    @property
    def next_tick_s(self) -> float | None:
        """Return when the next hedge or revisit is due."""
        due = [
            times[0][0] for times in (self._hedge_times, self._revisit_times) if times
        ]
        return min(due, default=None)

    def start(self, now_s: float) -> ScatterActions:
        """Pin the snapshot of the routes and send a request to every service."""
        actions = ScatterActions()
        choice = self._routes.choice
        if choice is not None:
            self._pin(choice.snapshot, choice.services, now_s, actions)
        return actions

    def on_result(self, result: PartialResult, now_s: float) -> ScatterActions:
        """Handle a result and return the actions that follow."""
        actions = ScatterActions()
        state = self.state
        disposition = state.receive(result)
        if disposition is Disposition.ACCEPTED:
            self._on_accepted(state.attempts[result.attempt_id], now_s, actions)
        elif disposition is Disposition.FAILED:
            attempt = state.attempts[result.attempt_id]
            self._on_failed(attempt, verdict_of(result), now_s, actions)
        else:
            self._context.count("gateway_results_dropped", disposition)
        return actions

    def on_lost(
        self,
        attempts: Iterable[Attempt],
        reason: Reason,
        verdict: Verdict,
        now_s: float,
    ) -> ScatterActions:
        """Fail the attempts that can no longer get a result."""
        actions = ScatterActions()
        for attempt in list(attempts):
            # A restart in this loop cancels the remaining attempts.
            if attempt.state is AttemptState.OUTSTANDING:
                self.state.fail(attempt, reason, verdict)
                self._on_failed(attempt, verdict, now_s, actions)
        return actions

    def on_tick(self, now_s: float) -> ScatterActions:
        """Send the hedges and revisits that are due."""
        actions = ScatterActions()
        while self._revisit_times and self._revisit_times[0][0] <= now_s:
            _, service = heappop(self._revisit_times)
            self._revisit(self.state.parts[service], now_s, actions)
        while self._hedge_times and self._hedge_times[0][0] <= now_s:
            _, service = heappop(self._hedge_times)
            part = self.state.parts.get(service)
            if part is not None and part.body is None and part.outstanding:
                self._hedge(part, now_s, actions)
        return actions

    def finish(self, now_s: float, *, abandoned: bool = False) -> ScatterActions:
        """End the query and cancel its outstanding attempts.

        Those of an abandoned query are not recorded as failed, because they could
        still have been answered in time.
        """
        self._hedge_times.clear()
        self._revisit_times.clear()
        actions = ScatterActions()
        cancelled = self.state.finish()
        for attempt in cancelled:
            # Hedges and retries started late and may have had too little time.
            if attempt.kind is AttemptKind.FIRST and not abandoned:
                self._record(attempt, now_s, failed=True)
        self._cancel(cancelled, actions)
        return actions

    def _pin(
        self,
        snapshot: int,
        services: tuple[str, ...],
        now_s: float,
        actions: ScatterActions,
    ) -> None:
        self._cancel(self.state.pin(snapshot, self._services_of(services)), actions)
        self._hedge_times.clear()
        self._revisit_times.clear()
        for part in self.state.parts.values():
            leaf = self._choose(part)
            if leaf is None:
                part.reason = self._routes.reason_without_leaf(part.service)
                continue
            self._send(part, leaf, AttemptKind.FIRST, now_s, actions)
            delay_s = self._context.delays.delay_s(part.service, self._policy)
            self._hedge_times.append((now_s + delay_s, part.service))
        heapify(self._hedge_times)
        if not self.state.restarted:
            self._context.budget.add_first_attempts(
                len(self._hedge_times), self._policy
            )

    def _on_accepted(
        self, attempt: Attempt, now_s: float, actions: ScatterActions
    ) -> None:
        part = self.state.parts[attempt.service]
        self._context.selector.end(attempt.leaf.leaf_id)
        self._context.selector.record(attempt.leaf.leaf_id, failed=False)
        self._context.delays.add(part.service, now_s - part.first_sent_at_s)
        self._record(attempt, now_s, failed=False)
        losers = self.state.cancel_part(part)
        for loser in losers:
            self._record(loser, now_s, failed=False)
        self._cancel(losers, actions)

    def _on_failed(
        self, attempt: Attempt, verdict: Verdict, now_s: float, actions: ScatterActions
    ) -> None:
        self._context.selector.end(attempt.leaf.leaf_id)
        part = self.state.parts[attempt.service]
        reason = part.reason or Reason.UPSTREAM_ERROR
        self._context.count("gateway_attempts_failed", reason)
        if reason not in UNRELATED_TO_LEAF:
            self._context.selector.record(attempt.leaf.leaf_id, failed=True)
        if verdict is not Verdict.NOT_RUN and reason is not Reason.PEER_LOST:
            self._record(attempt, now_s, failed=True)
        if reason is Reason.SNAPSHOT_GONE:
            self._context.gone.mark(attempt.leaf.leaf_id, attempt.snapshot)
            if self._restart(now_s, actions):
                return
        if verdict is Verdict.NOT_RUN and reason in HANDOVER_REASONS:
            part.unreached.add(attempt.leaf.leaf_id)
        if part.outstanding:
            return
        self._retry(part, reason, verdict, now_s, actions)

    def _restart(self, now_s: float, actions: ScatterActions) -> bool:
        self._routes = self._refresh_routes()
        choice = self._routes.choice
        if self.state.restarted or choice is None:
            return False
        if choice.snapshot == self.state.snapshot:
            return False
        self._context.count("gateway_restarts", Reason.SNAPSHOT_GONE)
        self._pin(choice.snapshot, choice.services, now_s, actions)
        return True

    def _retry(
        self,
        part: ServicePart,
        reason: Reason,
        verdict: Verdict,
        now_s: float,
        actions: ScatterActions,
    ) -> None:
        if now_s >= self.answer_by_s:
            return
        leaf = self._choose(part)
        if leaf is None:
            self._schedule_revisit(part, now_s)
        elif self._can_reroute(part, reason, verdict):
            part.rerouted = True
            self._send(part, leaf, AttemptKind.REROUTE, now_s, actions)
            self._context.count("gateway_reroutes", reason)
        elif self._context.budget.acquire_retry(self._policy):
            self._send(part, leaf, AttemptKind.RETRY, now_s, actions)
            self._context.count("gateway_retries", reason)
        else:
            self._context.count("gateway_retries_denied", reason)
            self._schedule_revisit(part, now_s)

    def _schedule_revisit(self, part: ServicePart, now_s: float) -> None:
        """Schedule another attempt at leaves not reached because of a handover."""
        at_s = now_s + REVISIT_DELAY_S
        if not part.unreached or part.revisits >= REVISITS_MAX:
            return
        if at_s < self.answer_by_s:
            part.revisits += 1
            heappush(self._revisit_times, (at_s, part.service))

    def _revisit(
        self, part: ServicePart, now_s: float, actions: ScatterActions
    ) -> None:
        part.tried -= part.unreached
        part.unreached.clear()
        leaf = self._choose(part)
        if leaf is not None:
            self._send(part, leaf, AttemptKind.REROUTE, now_s, actions)
            self._context.count("gateway_revisits", part.reason or Reason.NO_HOME)

    def _can_reroute(self, part: ServicePart, reason: Reason, verdict: Verdict) -> bool:
        if part.rerouted or verdict is not Verdict.NOT_RUN:
            return False
        return reason in REFUSED_BEFORE_UPSTREAM

    def _hedge(self, part: ServicePart, now_s: float, actions: ScatterActions) -> None:
        if part.hedged or now_s >= self.answer_by_s:
            return
        leaf = self._choose(part)
        if leaf is None:
            return
        if not self._context.budget.acquire_hedge(self._policy):
            self._context.count("gateway_hedges_denied", "budget")
            delay_s = self._context.delays.delay_s(part.service, self._policy)
            heappush(self._hedge_times, (now_s + delay_s, part.service))
            return
        part.hedged = True
        self._send(part, leaf, AttemptKind.HEDGE, now_s, actions)
        self._context.count("gateway_hedges", "delay")

    def _choose(self, part: ServicePart) -> LeafModel | None:
        if part.tried and self._extra_routes is not None:
            candidates = self._extra_routes.candidates(
                part.service, self.state.snapshot
            )
            leaf = self._context.selector.select(candidates, part.tried)
            if leaf is not None:
                return leaf
        candidates = self._routes.candidates(part.service, self.state.snapshot)
        return self._context.selector.select(candidates, part.tried)

    def _send(
        self,
        part: ServicePart,
        leaf: LeafModel,
        kind: AttemptKind,
        now_s: float,
        actions: ScatterActions,
    ) -> None:
        self._context.selector.begin(leaf.leaf_id)
        actions.send.append(self.state.add_attempt(part.service, leaf, kind, now_s))

    def _record(self, attempt: Attempt, now_s: float, *, failed: bool) -> None:
        self._context.record(attempt, failed, (now_s - attempt.sent_at_s) * 1000)

    def _cancel(self, attempts: list[Attempt], actions: ScatterActions) -> None:
        for attempt in attempts:
            self._context.selector.end(attempt.leaf.leaf_id)
            actions.cancel.append(attempt)
