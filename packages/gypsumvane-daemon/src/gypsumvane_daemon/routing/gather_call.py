"""Scatter-gather call to every service of a route."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.reason import Reason
from gypsumvane_core.routing.coverage import CoveragePolicy
from gypsumvane_core.routing.part_merge import merge_records
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.routing.leaf_attempt import LeafFailure
from gypsumvane_daemon.routing.leaf_attempt import LeafReply
from gypsumvane_daemon.routing.service_call import ServiceCall

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import GatherPlan
    from gypsumvane_core.routing.config import Route
    from gypsumvane_core.routing.config import RoutingConfig
    from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
    from gypsumvane_daemon.routing.leaf_attempt import LeafResult
    from gypsumvane_daemon.routing.service_call import CallContext


@dataclass(frozen=True, slots=True)
class GatheredAnswer:
    """Carry the merged records of the services that answered."""

    signatures: tuple[str, ...]
    # Number of services whose records are missing.
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class GatherFailure:
    """Report that too few services answered."""

    parts: int
    services: int
    # NOT_RUN only if no leaf may have executed the request.
    verdict: Verdict
    # Whether a leaf received the request.
    reached_leaf: bool
    deadline_passed: bool
    # Distinct reasons of the failures, separated by commas.
    reasons: str = ""


class GatherCall:
    """Ask one leaf of each service and merge their answers.

    All services are called with the same configuration version.
    """

    def __init__(
        self,
        context: CallContext,
        route: Route,
        plan: GatherPlan,
        config: RoutingConfig,
        request: ForwardedRequest,
    ) -> None:
        self._context = context
        self._plan = plan
        self._request = request
        self._policy = CoveragePolicy(
            services=len(plan.services),
            min_share=plan.min_share,
            latency_objective_s=route.latency_objective_s,
        )
        self._calls = {
            service: ServiceCall(
                context, route, service, config.services.get(service), request
            )
            for service in plan.services
        }
        self._parts: list[LeafReply] = []
        self._failures: list[LeafFailure] = []

    async def run(self, until_s: float) -> GatheredAnswer | GatherFailure:
        """Return the merged answer or a failure.

        until_s is the latest time of the return, by the monotonic clock. Nothing is
        sent if too few services have a leaf, and the rest is not awaited once too
        many services have failed.
        """
        servable = sum(call.choose_first() for call in self._calls.values())
        if not self._policy.sufficient(servable):
            return self._too_few_leaves(servable)
        tasks: set[asyncio.Task[LeafResult]] = {
            asyncio.create_task(call.run()) for call in self._calls.values()
        }
        pending = tasks
        try:
            while pending:
                timeout_s = self._timeout_s(until_s)
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    self._add_result(task.result())
                age_s = self._context.clock.monotonic_s() - self._request.arrived_s
                parts = len(self._parts)
                if self._policy.should_answer(parts, pending=len(pending), age_s=age_s):
                    break
                if not self._policy.reachable(parts, pending=len(pending)):
                    break
                if self._context.clock.monotonic_s() >= until_s:
                    break
            # Late sends may finish for a while, which keeps their connections open.
            for call in self._calls.values():
                call.detach_attempts()
        finally:
            for task in pending:
                task.cancel()
        return self._result(until_s)

    def _too_few_leaves(self, servable: int) -> GatherFailure:
        return GatherFailure(
            parts=0,
            services=len(self._plan.services),
            verdict=Verdict.NOT_RUN,
            reached_leaf=False,
            deadline_passed=False,
            reasons=f"{Reason.UPSTREAM_UNAVAILABLE} ({servable} services have a leaf)",
        )

    def _timeout_s(self, until_s: float) -> float:
        """Return the time until a partial answer is due, or until the deadline."""
        now_s = self._context.clock.monotonic_s()
        left_s = until_s - now_s
        partial_after_s = self._policy.partial_after_s
        if partial_after_s is not None:
            decision_s = self._request.arrived_s + partial_after_s - now_s
            if decision_s > 0:
                left_s = min(left_s, decision_s)
        return max(0.0, left_s)

    def _add_result(self, result: LeafResult) -> None:
        """Record the result of one service; only answers with success are parts."""
        if isinstance(result, LeafReply):
            if result.success:
                self._parts.append(result)
                return
            result = LeafFailure(
                result.entry,
                reason=Reason.UPSTREAM_ERROR,
                verdict=Verdict.RAN,
                message=f"status {result.answer.status}",
                reached_leaf=True,
            )
        self._failures.append(result)

    def _result(self, until_s: float) -> GatheredAnswer | GatherFailure:
        parts = len(self._parts)
        services = len(self._plan.services)
        if self._policy.sufficient(parts):
            return GatheredAnswer(
                signatures=tuple(part.signature for part in self._parts),
                missing=services - parts,
                body=merge_records(
                    [part.answer.body for part in self._parts], self._plan.records_max
                ),
            )
        calls = self._calls.values()
        may_have_run = any(call.may_have_run or call.in_progress for call in calls)
        reasons = sorted({failure.reason for failure in self._failures})
        return GatherFailure(
            parts=parts,
            services=services,
            verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
            reached_leaf=any(call.reached_leaf for call in calls),
            deadline_passed=self._context.clock.monotonic_s() >= until_s,
            reasons=",".join(reasons),
        )
