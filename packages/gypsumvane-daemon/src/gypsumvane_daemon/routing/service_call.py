"""Call to one service: selection of leaves, retries and hedges.

A hedge is a second attempt at another leaf while the first is late.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING

from gypsumvane_core.reason import Reason
from gypsumvane_core.routing.cold_start import ColdStartBound
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.routing.leaf_attempt import LeafFailure
from gypsumvane_daemon.routing.leaf_attempt import LeafReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.config import Route
    from gypsumvane_core.routing.config import ServiceConfig
    from gypsumvane_core.routing.latency_tracker import LatencyTracker
    from gypsumvane_core.routing.leaf_choice import LeafChooser
    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_core.routing.retry_budget import RetryBudget
    from gypsumvane_core.routing.version_move import MoveRegistry
    from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
    from gypsumvane_daemon.routing.leaf_attempt import LeafResult
    from gypsumvane_daemon.routing.leaf_attempt import LeafSender
    from gypsumvane_daemon.routing.request_log import RequestLog

# Most sends of a request beyond the attempts of its route. They replace sends that no
# leaf executed, which do not count as attempts.
REFUSED_SENDS_MAX = 2
# Time in which the losing attempt of a hedge may still answer. Its connection then
# stays open; opening another one costs a leaf up to 6 ms.
LOSING_ATTEMPT_GRACE_S = 0.3


@dataclass(slots=True)
class CallContext:
    """Hold the components that all calls share."""

    sender: LeafSender
    chooser: LeafChooser
    budget: RetryBudget
    latencies: LatencyTracker
    moves: MoveRegistry
    clock: Clock
    log: RequestLog
    region_of_domain: dict[str, str] = field(default_factory=dict)
    cold_bound: ColdStartBound = field(default_factory=ColdStartBound)
    rng: Random = field(default_factory=Random)
    # Returns the time since the orders of version moves were confirmed.
    orders_age_s: Callable[[], float] = lambda: 0.0
    # Called when an answer shows that a version is bad.
    on_taken_back: Callable[[], None] = lambda: None
    _losing_attempts: set[asyncio.Task[LeafResult]] = field(default_factory=set)

    def finish_losing_attempt(self, task: asyncio.Task[LeafResult]) -> None:
        """Let a losing attempt finish, and cancel it after LOSING_ATTEMPT_GRACE_S."""
        self._losing_attempts.add(task)
        timer = asyncio.get_running_loop().call_later(
            LOSING_ATTEMPT_GRACE_S, task.cancel
        )
        task.add_done_callback(lambda _: timer.cancel())
        task.add_done_callback(self._losing_attempts.discard)


class ServiceCall:
    """Get one answer to a request from the leaves of a service."""

    def __init__(
        self,
        context: CallContext,
        route: Route,
        service: str,
        config: ServiceConfig | None,
        request: ForwardedRequest,
    ) -> None:
        self._context = context
        self._route = route
        self._service = service
        self._config = config
        self._request = request
        # Incarnations that the request was sent to.
        self._tried: set[tuple[str, int, str]] = set()
        self._running: dict[asyncio.Task[LeafResult], LeafEntry] = {}
        self._sends = 0
        # Sends that a leaf may have executed, which count as attempts.
        self._counted_sends = 0
        self._failures: list[LeafFailure] = []
        # Hedges that were due but not sent for lack of a leaf or of budget.
        self._hedges_missed = 0
        # Leaf of the first send, if it was chosen ahead.
        self._first_leaf: LeafEntry | None = None
        self._detached = False
        # Drawn once, so that all sends of the request go to one version.
        self._version_draw = context.rng.random()
        # Whether a leaf received the request.
        self.reached_leaf = False
        # Whether a leaf may have executed the request in a send that has ended.
        self.may_have_run = False
        # Time until a leaf takes requests again, if all have asked for a pause.
        self.pause_left_s: float | None = None

    @property
    def in_progress(self) -> bool:
        """Return whether a send is in progress."""
        return bool(self._running)

    def choose_first(self) -> bool:
        """Choose the leaf of the first send and return whether there is one."""
        self._first_leaf = self._choose(self._context.clock.monotonic_s())
        return self._first_leaf is not None

    def detach_attempts(self) -> None:
        """Let sends in progress finish if the call is cancelled from now on."""
        self._detached = True

    async def run(self) -> LeafResult:
        """Return the first good answer, or else the most significant failure.

        Cancellation cancels all sends unless detach_attempts was called.
        """
        context = self._context
        context.budget.add_request(self._service, context.clock.monotonic_s())
        try:
            self._start_attempt()
            while self._running:
                result = await self._next_result()
                if isinstance(result, LeafReply):
                    return result
                if result is not None:
                    self._failures.append(result)
                    self._retry(result)
                elif not self._start_attempt(hedge=True):
                    self._hedges_missed += 1
            return self._final_failure()
        except asyncio.CancelledError:
            if not self._detached:
                self._cancel_running()
            raise
        finally:
            for task in self._running:
                context.finish_losing_attempt(task)

    async def _next_result(self) -> LeafResult | None:
        """Return the next result, None if a hedge is due first."""
        done = await self._wait_for_result()
        if not done:
            return None
        results = []
        for task in done:
            del self._running[task]
            results.append(task.result())
        for result in results:
            if isinstance(result, LeafReply):
                return result
        # All failures are kept; the last one decides about a retry.
        self._failures += [r for r in results[:-1] if isinstance(r, LeafFailure)]
        return results[-1]

    async def _wait_for_result(self) -> set[asyncio.Task[LeafResult]]:
        """Return the sends that have ended, none if a hedge is due first."""
        may_hedge = self._may_hedge()
        while True:
            timeout_s = None
            if may_hedge:
                timeout_s = self._hedge_due_s() - self._context.clock.monotonic_s()
            done, _ = await asyncio.wait(
                self._running,
                timeout=None if timeout_s is None else max(0.0, timeout_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # The send may have begun later than its task was created.
            if done or self._hedge_due_s() <= self._context.clock.monotonic_s():
                return done

    def _hedge_due_s(self) -> float:
        """Return when a hedge is due."""
        # Back off after missed hedges, while the budget refills.
        hedge_s = self._hedge_after_s() * 2**self._hedges_missed
        return max(self._last_send_s, self._request.arrived_s) + hedge_s

    def _may_hedge(self) -> bool:
        """Return whether the route allows a second send beside the running one."""
        return (
            self._route.idempotent
            and len(self._running) == 1
            and self._counted_sends < self._route.attempts_max
        )

    def _hedge_after_s(self) -> float:
        route = self._route
        return self._context.latencies.hedge_after_s(
            route.name, latency_objective_s=route.latency_objective_s
        )

    def _retry(self, failure: LeafFailure) -> None:
        """Send again after a failure if that is safe and no send is in progress."""
        if failure.verdict is Verdict.NOT_RUN:
            self._counted_sends -= 1
        if not failure.verdict.allows_retry(idempotent=self._route.idempotent):
            return
        if not self._running:
            self._start_attempt()

    def _start_attempt(self, *, hedge: bool = False) -> bool:
        """Send to one more leaf, if possible, and return whether a send was started."""
        context = self._context
        now_s = context.clock.monotonic_s()
        limit = self._route.attempts_max + REFUSED_SENDS_MAX
        if self._counted_sends >= self._route.attempts_max or self._sends >= limit:
            return False
        entry = self._first_leaf
        if entry is None or not self._within_limit(entry, now_s):
            entry = self._choose(now_s)
        self._first_leaf = None
        if entry is None:
            return False
        # A send is no extra work for the service if no earlier one reached a leaf.
        extra = self.reached_leaf or bool(self._running)
        if extra and not context.budget.take(self._service, now_s):
            context.log.decision("retry_refused", self._request, service=self._service)
            return False
        if hedge:
            for waiting in self._running.values():
                context.sender.pool.load(waiting).record_late_call(now_s)
        if self._sends:
            context.log.decision(
                "hedge" if hedge else "retry",
                self._request,
                service=self._service,
                leaf=entry.leaf_id,
                reason=self._failures[-1].reason if self._failures else "late",
            )
        if self._rate_limited(entry, now_s):
            context.sender.pool.load(entry).record_cold_request(now_s)
        leaf_limit = context.sender.pool.state(entry).limit
        if leaf_limit is not None:
            leaf_limit.take(self._route.rank, now_s)
        self._log_move_send(entry, now_s)
        self._tried.add(entry.incarnation)
        self._sends += 1
        self._counted_sends += 1
        self._last_send_s = now_s
        task = asyncio.create_task(self._send(entry))
        self._running[task] = entry
        return True

    async def _send(self, entry: LeafEntry) -> LeafResult:
        # A busy daemon begins its sends late, which is no delay of the leaf.
        sent_s = self._last_send_s = self._context.clock.monotonic_s()
        try:
            result = await self._context.sender.send(
                entry,
                self._config,
                self._request,
                median_latency_s=self._context.latencies.median_s(
                    self._route.name,
                    latency_objective_s=self._route.latency_objective_s,
                ),
                answer_bytes_max=self._route.answer_bytes_max,
            )
        except asyncio.CancelledError:
            self.may_have_run = True
            self._record_move_wait(entry, sent_s)
            raise
        if isinstance(result, LeafReply):
            self._context.latencies.add(self._route.name, result.latency_s)
            self.reached_leaf = self.may_have_run = True
        else:
            self.reached_leaf |= result.reached_leaf
            self.may_have_run |= result.verdict is not Verdict.NOT_RUN
        self._record_move_answer(entry, result)
        return result

    def _log_move_send(self, entry: LeafEntry, now_s: float) -> None:
        """Log which version a request goes to while its service moves."""
        move = self._context.moves.find(self._service)
        if move is not None:
            self._context.log.decision(
                "version_chosen",
                self._request,
                service=self._service,
                version=entry.version,
                target_version=move.order.target_version,
                state=move.state,
                share=round(move.new_version_share(now_s), 3),
            )

    def _record_move_wait(self, entry: LeafEntry, sent_s: float) -> None:
        """Record a send that is given up as evidence in a version move."""
        move = self._context.moves.find(self._service)
        if move is None:
            return
        waited_ms = (self._context.clock.monotonic_s() - sent_s) * 1000
        if move.record_unanswered(self._route.name, entry.version, waited_ms):
            self._log_taken_back(entry)

    def _log_taken_back(self, entry: LeafEntry) -> None:
        self._context.log.decision(
            "version_taken_back",
            self._request,
            service=self._service,
            version=entry.version,
        )
        self._context.on_taken_back()

    def _record_move_answer(self, entry: LeafEntry, result: LeafResult) -> None:
        """Record the result as evidence in a version move of the service."""
        move = self._context.moves.find(self._service)
        if move is None:
            return
        if isinstance(result, LeafReply):
            failed, latency_ms = False, result.latency_s * 1000
        elif result.verdict is Verdict.NOT_RUN:
            return
        else:
            failed, latency_ms = True, 0.0
        if move.record_answer(
            self._route.name, entry.version, failed=failed, latency_ms=latency_ms
        ):
            self._log_taken_back(entry)

    def _choose(self, now_s: float) -> LeafEntry | None:
        """Return the best leaf that was not tried yet and may get the request."""
        context = self._context
        registry = context.sender.registry
        entries = registry.without_new_versions(
            registry.eligible(self._service, now_s), now_s - context.orders_age_s()
        )
        move = context.moves.find(self._service)
        if move is not None:
            entries = move.select_leaves(entries, self._version_draw, now_s)
        entries = [
            entry
            for entry in entries
            if self._in_region(entry) and self._accepts_request(entry, now_s)
        ]
        entries = self._without_paused(entries, now_s)
        if not self._sends:
            self._note_demand(entries, now_s)
        allowed = [entry for entry in entries if self._within_limit(entry, now_s)]
        if entries and not allowed:
            context.log.decision("limit_reached", self._request, service=self._service)
        entries = allowed
        unused = [entry for entry in entries if entry.incarnation not in self._tried]
        return context.chooser.choose(
            unused,
            context.sender.pool.load,
            late_after_s=self._hedge_after_s(),
            now_s=now_s,
        )

    def _in_region(self, entry: LeafEntry) -> bool:
        regions = self._route.regions
        return (
            not regions
            or self._context.region_of_domain.get(entry.failure_domain) in regions
        )

    def _accepts_request(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf has room within its cold start limit."""
        if not self._rate_limited(entry, now_s) or self._config is None:
            return True
        context = self._context
        share = context.sender.pool.share
        per_s = context.cold_bound.daemon_rate_per_s(self._config.warmup_per_s, share)
        return context.sender.pool.load(entry).accepts_cold_request(per_s, now_s)

    def _within_limit(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf takes the request within the limit that it names."""
        limit = self._context.sender.pool.state(entry).limit
        return limit is None or limit.accepts(self._route.rank, now_s)

    def _without_paused(
        self, entries: list[LeafEntry], now_s: float
    ) -> list[LeafEntry]:
        """Return the leaves that have not asked this daemon for a pause."""
        pool = self._context.sender.pool
        until_s = {entry: pool.load(entry).paused_until_s for entry in entries}
        ready = [entry for entry in entries if until_s[entry] <= now_s]
        if entries and not ready:
            # A caller that is refused comes back when the first pause ends.
            self.pause_left_s = min(until_s.values()) - now_s
            self._context.log.decision(
                "all_paused", self._request, service=self._service
            )
        return ready

    def _note_demand(self, entries: list[LeafEntry], now_s: float) -> None:
        """Count the request at the leaves that name a limit."""
        for entry in entries:
            limit = self._context.sender.pool.state(entry).limit
            if limit is not None:
                limit.note_demand(self._route.rank, now_s)

    def _rate_limited(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf is cold and its service limits requests to it."""
        # Services without a configured rate do not limit requests to cold leaves.
        if self._config is None or self._config.warmup_per_s <= 0:
            return False
        return self._context.sender.registry.is_cold(entry, now_s)

    def _cancel_running(self) -> None:
        for task in self._running:
            task.cancel()
        self._running.clear()

    def _final_failure(self) -> LeafFailure:
        """Return the first failure of a send that was executed.

        Without one, return the first of a send that may have been executed, or else
        the last failure.
        """
        if not self._failures:
            return LeafFailure(
                None, Reason.UPSTREAM_UNAVAILABLE, Verdict.NOT_RUN, "no eligible leaf"
            )
        for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
            for failure in self._failures:
                if failure.verdict is verdict:
                    return failure
        return self._failures[-1]
