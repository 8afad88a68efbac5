"""A request at one service: choice of leaves, retries and hedges."""

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
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.config import Route
    from gypsumvane_core.routing.config import ServiceConfig
    from gypsumvane_core.routing.latency_book import LatencyBook
    from gypsumvane_core.routing.leaf_choice import LeafChooser
    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_core.routing.retry_budget import RetryBudget
    from gypsumvane_core.routing.version_move import MoveBook
    from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
    from gypsumvane_daemon.routing.leaf_attempt import LeafResult
    from gypsumvane_daemon.routing.leaf_attempt import LeafSender
    from gypsumvane_daemon.routing.request_log import RequestLog

# Sends that no leaf ran may exceed the attempts of a route by this number.
REFUSED_SENDS_MAX = 2
# The losing attempt of a hedge may still answer within this time, which keeps
# its connection; opening another costs a leaf up to 6 ms.
LOSER_GRACE_S = 0.3


@dataclass(slots=True)
class CallTools:
    """Bundle what all calls share."""

    sender: LeafSender
    chooser: LeafChooser
    budget: RetryBudget
    latencies: LatencyBook
    moves: MoveBook
    clock: Clock
    log: RequestLog
    region_of_domain: dict[str, str] = field(default_factory=dict)
    cold_bound: ColdStartBound = field(default_factory=ColdStartBound)
    rng: Random = field(default_factory=Random)
    _losers: set[asyncio.Task[LeafResult]] = field(default_factory=set)

    def finish_loser(self, task: asyncio.Task[LeafResult]) -> None:
        """Let a losing attempt end by itself for a short time."""
        self._losers.add(task)
        timer = asyncio.get_running_loop().call_later(LOSER_GRACE_S, task.cancel)
        task.add_done_callback(lambda _: timer.cancel())
        task.add_done_callback(self._losers.discard)


class ServiceCall:
    """Get one answer from the leaves of a service."""

    def __init__(
        self,
        tools: CallTools,
        route: Route,
        service: str,
        config: ServiceConfig | None,
        request: ForwardedRequest,
    ) -> None:
        self._tools = tools
        self._route = route
        self._service = service
        self._config = config
        self._request = request
        self._used: set[tuple[str, int, str]] = set()
        self._running: dict[asyncio.Task[LeafResult], LeafEntry] = {}
        self._sends = 0
        # Sends that a leaf may have run.
        self._runs = 0
        self._failures: list[LeafFailure] = []
        # Hedges that were due and had no leaf or no budget.
        self._hedges_missed = 0
        self._released = False
        # All sends of a request go to one version.
        self._version_draw = tools.rng.random()
        self.arrived = False

    @property
    def in_progress(self) -> bool:
        """Return whether a leaf may be running the request."""
        return bool(self._running)

    def release(self) -> None:
        """Let sends end by themselves when the call is cancelled from now on."""
        self._released = True

    async def run(self) -> LeafResult:
        """Return the first good answer, or the failure that counts most.

        Cancelling ends all sends.
        """
        tools = self._tools
        tools.budget.add_request(self._service, tools.clock.monotonic_s())
        try:
            self._start()
            while self._running:
                result = await self._next_result()
                if isinstance(result, LeafReply):
                    return result
                if result is not None:
                    self._failures.append(result)
                    self._retry(result)
                elif not self._start(hedge=True):
                    self._hedges_missed += 1
            return self._failure()
        except asyncio.CancelledError:
            if not self._released:
                self._cancel_running()
            raise
        finally:
            for task in self._running:
                tools.finish_loser(task)

    async def _next_result(self) -> LeafResult | None:
        """Return the next result, None when a hedge is due."""
        timeout_s = None
        if self._may_hedge():
            # The budget fills up while a slow leaf works.
            hedge_s = self._hedge_after_s() * 2**self._hedges_missed
            begun_s = max(self._begun_s, self._request.arrived_s)
            timeout_s = max(0.0, begun_s + hedge_s - self._tools.clock.monotonic_s())
        done, _ = await asyncio.wait(
            self._running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return None
        results = []
        for task in done:
            del self._running[task]
            results.append(task.result())
        for result in results:
            if isinstance(result, LeafReply):
                return result
        # All failures count; the last one decides about a retry.
        self._failures += [r for r in results[:-1] if isinstance(r, LeafFailure)]
        return results[-1]

    def _may_hedge(self) -> bool:
        return (
            self._route.idempotent
            and len(self._running) == 1
            and self._runs < self._route.attempts_max
        )

    def _hedge_after_s(self) -> float:
        route = self._route
        return self._tools.latencies.hedge_after_s(
            route.name, objective_s=route.objective_s
        )

    def _retry(self, failure: LeafFailure) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            self._runs -= 1
        if not failure.verdict.allows_retry(idempotent=self._route.idempotent):
            return
        if not self._running:
            self._start()

    def _start(self, *, hedge: bool = False) -> bool:
        """Send to one more leaf and return whether that was possible."""
        tools = self._tools
        now_s = tools.clock.monotonic_s()
        limit = self._route.attempts_max + REFUSED_SENDS_MAX
        if self._runs >= self._route.attempts_max or self._sends >= limit:
            return False
        entry = self._choose(now_s)
        if entry is None:
            return False
        # What never reached a leaf is not extra work for the service.
        extra = self.arrived or bool(self._running)
        if extra and not tools.budget.take(self._service, now_s):
            tools.log.decision("retry_refused", self._request, service=self._service)
            return False
        if hedge:
            for waiting in self._running.values():
                tools.sender.pool.load(waiting).given_up(now_s)
        if self._sends:
            tools.log.decision(
                "hedge" if hedge else "retry",
                self._request,
                service=self._service,
                leaf=entry.leaf_id,
                reason=self._failures[-1].reason if self._failures else "late",
            )
        if self._limited(entry, now_s):
            tools.sender.pool.load(entry).note_cold_send(now_s)
        self._used.add(entry.incarnation)
        self._sends += 1
        self._runs += 1
        self._begun_s = now_s
        task = asyncio.create_task(self._send(entry))
        self._running[task] = entry
        return True

    async def _send(self, entry: LeafEntry) -> LeafResult:
        result = await self._tools.sender.send(
            entry,
            self._config,
            self._request,
            usual_latency_s=self._tools.latencies.median_s(
                self._route.name, objective_s=self._route.objective_s
            ),
        )
        if isinstance(result, LeafReply):
            self._tools.latencies.add(self._route.name, result.latency_s)
            self.arrived = True
        elif result.arrived:
            self.arrived = True
        self._note_version(entry, result)
        return result

    def _note_version(self, entry: LeafEntry, result: LeafResult) -> None:
        move = self._tools.moves.of(self._service)
        if move is None:
            return
        if isinstance(result, LeafReply):
            failed, latency_ms = False, result.latency_s * 1000
        elif result.verdict is Verdict.NOT_RUN:
            return
        else:
            failed, latency_ms = True, 0.0
        if move.answered(
            self._route.name, entry.version, failed=failed, latency_ms=latency_ms
        ):
            self._tools.log.decision(
                "version_taken_back",
                self._request,
                service=self._service,
                version=entry.version,
            )

    def _choose(self, now_s: float) -> LeafEntry | None:
        tools = self._tools
        entries = tools.sender.registry.usable(self._service, now_s)
        move = tools.moves.of(self._service)
        if move is not None:
            entries = move.choose(entries, self._version_draw, now_s)
        entries = [
            entry
            for entry in entries
            if self._in_region(entry) and self._has_room(entry, now_s)
        ]
        unused = [entry for entry in entries if entry.incarnation not in self._used]
        return tools.chooser.choose(
            unused,
            tools.sender.pool.load,
            late_after_s=self._hedge_after_s(),
            now_s=now_s,
        )

    def _in_region(self, entry: LeafEntry) -> bool:
        regions = self._route.regions
        return (
            not regions
            or self._tools.region_of_domain.get(entry.failure_domain) in regions
        )

    def _has_room(self, entry: LeafEntry, now_s: float) -> bool:
        """Return whether a leaf, if cold, bears one more request."""
        if not self._limited(entry, now_s) or self._config is None:
            return True
        tools = self._tools
        share = tools.sender.pool.share
        per_s = tools.cold_bound.per_s(self._config.warmup_per_s, share)
        return tools.sender.pool.load(entry).cold_room(per_s, now_s)

    def _limited(self, entry: LeafEntry, now_s: float) -> bool:
        # Without a rate in the configuration cold leaves are only slow.
        if self._config is None or self._config.warmup_per_s <= 0:
            return False
        return self._tools.sender.registry.cold(entry, now_s)

    def _cancel_running(self) -> None:
        for task in self._running:
            task.cancel()
        self._running.clear()

    def _failure(self) -> LeafFailure:
        if not self._failures:
            return LeafFailure(
                None, Reason.UPSTREAM_UNAVAILABLE, Verdict.NOT_RUN, "no leaf to ask"
            )
        for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
            for failure in self._failures:
                if failure.verdict is verdict:
                    return failure
        return self._failures[-1]
