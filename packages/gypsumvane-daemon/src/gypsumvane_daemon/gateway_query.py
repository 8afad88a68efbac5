"""Execution of one scatter-gather query: messages, timers and cancellation."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.messages import Cancel
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialRequest
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.query_attempt import AttemptState
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.messages import PartialResult
    from gypsumvane_core.query_attempt import Attempt
    from gypsumvane_core.scatter import Scatter
    from gypsumvane_core.scatter import ScatterActions
    from gypsumvane_daemon.gateway_ports import HomesPort
    from gypsumvane_daemon.gateway_ports import PeersPort
    from gypsumvane_daemon.gateway_ports import UpstreamsPort

logger = logging.getLogger(__name__)

# Replies are awaited this long after the answer, so that late ones are counted.
LATE_RESULT_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """Services that the queries of this daemon use."""

    own_vm_id: str
    clock: Clock
    peers: PeersPort
    homes: HomesPort
    upstreams: UpstreamsPort
    # References to all running tasks, which the event loop holds only weakly.
    tasks: set[asyncio.Task[None]]


class GatewayQuery:
    """Execute the steps of a Scatter and report results back to it.

    The Scatter decides what to send and cancel; this class performs the I/O.
    """

    def __init__(
        self, scatter: Scatter, *, template: PartialBatch, deps: GatewayDependencies
    ) -> None:
        self._scatter = scatter
        self._template = template
        self._deps = deps
        self._home_of_attempt: dict[int, str] = {}
        self._query_tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[None] = self._loop.create_future()
        self._tick: asyncio.TimerHandle | None = None
        self._tick_at_s: float | None = None

    async def run(self) -> None:
        """Run until the answer is complete or the deadline has passed.

        Cancelling this coroutine also cancels the requests at the homes.
        """
        left_s = self._scatter.answer_by_s - self._now_s()
        deadline = self._loop.call_later(max(left_s, 0.0), self._end)
        try:
            self._apply(self._scatter.start(self._now_s()))
            await self._ended
        except asyncio.CancelledError:
            self._end(abandoned=True)
            raise
        finally:
            deadline.cancel()
            self._end()

    def _now_s(self) -> float:
        return self._deps.clock.monotonic_s()

    def _end(self, *, abandoned: bool = False) -> None:
        if self._scatter.state.finished:
            return
        step = self._scatter.finish(self._now_s(), abandoned=abandoned)
        if self._tick is not None:
            self._tick.cancel()
        self._cancel(step.cancel)
        if not self._ended.done():
            self._ended.set_result(None)
        if self._query_tasks:
            self._loop.call_later(LATE_RESULT_WAIT_S, self._cancel_tasks)

    def _cancel_tasks(self) -> None:
        for task in list(self._query_tasks):
            task.cancel()

    def _on_tick(self) -> None:
        self._tick = None
        self._tick_at_s = None
        self._apply(self._scatter.on_tick(self._now_s()))

    def _schedule_tick(self) -> None:
        at_s = self._scatter.next_tick_s
        if at_s == self._tick_at_s:
            return
        if self._tick is not None:
            self._tick.cancel()
        self._tick_at_s = at_s
        self._tick = None
        if at_s is not None:
            delay_s = max(at_s - self._now_s(), 0.0)
            self._tick = self._loop.call_later(delay_s, self._on_tick)

    def _apply(self, step: ScatterActions) -> None:
        self._cancel(step.cancel)
        if step.send:
            self._send(step.send)
        if self._scatter.state.finished:
            return
        if self._scatter.done:
            self._end()
        else:
            self._schedule_tick()

    def _cancel(self, attempts: Iterable[Attempt]) -> None:
        by_home: dict[str, list[int]] = defaultdict(list)
        for attempt in attempts:
            home = self._home_of_attempt.get(attempt.attempt_id)
            if home is not None:
                by_home[home].append(attempt.attempt_id)
        query_id = self._template.query_id
        for home, attempt_ids in by_home.items():
            if home == self._deps.own_vm_id:
                self._deps.upstreams.cancel(query_id, attempt_ids)
                continue
            with contextlib.suppress(PeerError):
                message = Cancel(query_id=query_id, attempt_ids=attempt_ids)
                self._deps.peers.notify(home, message)

    def _send(self, attempts: Iterable[Attempt]) -> None:
        by_home: dict[str, list[Attempt]] = defaultdict(list)
        without_home: list[Attempt] = []
        for attempt in attempts:
            # A restart in the same step may already have cancelled the attempt.
            if attempt.state is not AttemptState.OUTSTANDING:
                continue
            home = self._deps.homes.home_of(attempt.leaf.leaf_id)
            if home is None:
                without_home.append(attempt)
                continue
            self._home_of_attempt[attempt.attempt_id] = home
            by_home[home].append(attempt)
        for home, group in by_home.items():
            self._send_to_home(home, group)
        if without_home:
            self._report_lost(without_home, Reason.NO_HOME, Verdict.NOT_RUN)

    def _send_to_home(self, home: str, attempts: list[Attempt]) -> None:
        left_s = self._scatter.answer_by_s - self._now_s()
        template = self._template
        batch = PartialBatch(
            query_id=template.query_id,
            index=template.index,
            route=template.route,
            priority=template.priority,
            caller_id=template.caller_id,
            query=template.query,
            snapshot=attempts[0].snapshot,
            deadline_left_ms=max(int(left_s * 1000), 0),
            requests=[
                PartialRequest(
                    attempt_id=attempt.attempt_id,
                    service=attempt.service,
                    leaf_id=attempt.leaf.leaf_id,
                )
                for attempt in attempts
            ],
        )
        if home != self._deps.own_vm_id:
            self._spawn(self._run_at_peer(home, batch, attempts))
            return
        for request, attempt in zip(batch.requests, attempts, strict=True):
            self._spawn(self._run_locally(batch, request, attempt))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        for tasks in (self._query_tasks, self._deps.tasks):
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _run_at_peer(
        self, home: str, batch: PartialBatch, attempts: list[Attempt]
    ) -> None:
        # Attempts without a result when the stream ends are lost.
        reason = Reason.PEER_LOST
        verdict = Verdict.MAY_HAVE_RUN
        try:
            async for reply in self._deps.peers.stream(home, batch):
                if isinstance(reply, PartialResults):
                    self._on_results(reply)
        except PeerError as error:
            if not error.sent:
                reason = Reason.PEER_UNAVAILABLE
                verdict = Verdict.NOT_RUN
        except FrameError:
            reason = Reason.BAD_REQUEST
            verdict = Verdict.NOT_RUN
        self._report_lost(attempts, reason, verdict)

    async def _run_locally(
        self, batch: PartialBatch, request: PartialRequest, attempt: Attempt
    ) -> None:
        try:
            result = await self._deps.upstreams.run_partial(batch, request)
        except Exception:
            logger.exception("partial request failed; recording the attempt as failed")
            self._report_lost([attempt], Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)
            return
        self._on_result(result)

    def _on_results(self, results: PartialResults) -> None:
        for brief in results.briefs:
            self._deps.upstreams.briefs.update(brief)
        for result in results.results:
            self._on_result(result)

    def _on_result(self, result: PartialResult) -> None:
        self._apply(self._scatter.on_result(result, self._now_s()))

    def _report_lost(
        self, attempts: Iterable[Attempt], reason: Reason, verdict: Verdict
    ) -> None:
        self._apply(self._scatter.on_lost(attempts, reason, verdict, self._now_s()))
