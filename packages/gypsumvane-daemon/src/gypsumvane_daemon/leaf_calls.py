"""Calls in progress at one upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.leaf_answer_check import classify_answer
from gypsumvane_daemon.leaf_task import LeafResult
from gypsumvane_daemon.upstream_client import LeafAnswer
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.upstream_limiter import SentCall
    from gypsumvane_daemon.leaf_state import LeafContext
    from gypsumvane_daemon.leaf_state import LeafState
    from gypsumvane_daemon.leaf_status import LeafStatusPoller
    from gypsumvane_daemon.leaf_task import LeafTask

# Time allowed for the response to a cancelled call. After it the connection is
# closed and the slot counts as free.
CANCEL_GRACE_S = 0.1
# A call ends at the latest this long after its deadline. The membership setting
# `takeover_margin_ms` covers this time before another home may send.
DEADLINE_GRACE_S = 0.2
# After a slow answer nothing is sent until a status report arrives, but at most for
# this time, so that a leaf that has turned cold does not get a second call.
SLOW_ANSWER_HOLD_S = 0.02


@dataclass(slots=True, eq=False)
class _ActiveCall:
    """One call in progress; ``job`` is the asyncio task that sends it."""

    task: LeafTask
    call: LeafCall
    sent: SentCall
    job: asyncio.Task[None] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    abandoned: bool = False


class LeafCalls:
    """Send calls, feed their results to the limiter and enforce deadlines.

    A call occupies a slot from its start until the upstream is known or assumed
    to have stopped working on it, also after its result was delivered.
    """

    def __init__(
        self,
        state: LeafState,
        context: LeafContext,
        *,
        status: LeafStatusPoller,
        next_request_id: Callable[[], str],
    ) -> None:
        self._state = state
        self._context = context
        self._status = status
        self._next_request_id = next_request_id
        self._active: dict[LeafTask, _ActiveCall] = {}
        self._jobs: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._active)

    async def close(self) -> None:
        """Wait for the calls in progress."""
        await asyncio.gather(*self._jobs, return_exceptions=True)

    def cancel(self, task: LeafTask) -> None:
        """Cancel a call whose result is no longer needed."""
        active = self._active.get(task)
        if active is not None:
            self._abandon(active, Reason.CANCELLED)

    def start(self, task: LeafTask, now_s: float) -> None:
        """Start a call in its own asyncio task."""
        left_s = min(
            task.deadline_s - now_s, self._state.policy.leaf_call_max_ms / 1000
        )
        call = LeafCall(
            request_id=self._next_request_id(),
            path=task.path,
            body=task.body,
            deadline_left_ms=max(1, int(left_s * 1000)),
            snapshot=task.snapshot,
            caller_id=task.caller_id,
            idempotency_key=task.idempotency_key,
        )
        active = _ActiveCall(
            task=task, call=call, sent=self._state.limiter.on_sent(now_s)
        )
        self._active[task] = active
        loop = asyncio.get_running_loop()
        active.timers.append(loop.call_later(left_s, self._on_deadline, active))
        active.job = asyncio.create_task(self._run(active))
        self._jobs.add(active.job)
        # A job that is cancelled before its first step never runs any of its code,
        # so a callback frees the slot.
        active.job.add_done_callback(lambda job: self._free_slot(active))

    def _spawn(self, work: object) -> asyncio.Task[None]:
        job: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)
        return job

    async def _run(self, active: _ActiveCall) -> None:
        try:
            answer = await self._state.client.send(active.call)
        except LeafCallError as error:
            self._on_error(active, error)
            if active.call.written:
                await self._hold_slot(active)
        except asyncio.CancelledError:
            active.task.finish(self._failure_result(active, Reason.CANCELLED))
        else:
            self._on_answer(active, answer)

    async def _hold_slot(self, active: _ActiveCall) -> None:
        """Keep the slot of a written call whose connection was lost.

        A lost connection does not stop the work at the upstream. If the slot were
        freed at once, the next call could reach a cold upstream that still runs
        this one, and overload it. The wait is cancelled after the upstream has
        confirmed that it cancelled the work, or else after the deadline, at which
        the upstream stops by itself.
        """
        active.abandoned = True
        self._context.count("leaf_slots_held")
        if active.task.idempotent:
            self._spawn(self._cancel_upstream(active))
        await asyncio.Event().wait()

    def _free_slot(self, active: _ActiveCall) -> None:
        """Free the slot of a call that has ended."""
        for timer in active.timers:
            timer.cancel()
        if active.job is not None:
            self._jobs.discard(active.job)
        del self._active[active.task]
        self._context.dispatch()

    def _on_answer(self, active: _ActiveCall, answer: LeafAnswer) -> None:
        now_s = self._context.clock.monotonic_s()
        outcome = classify_answer(active.task, answer, active.call.request_id)
        mismatch = isinstance(outcome, Failed) and outcome.reason in (
            Reason.ANSWER_MISMATCH,
            Reason.SNAPSHOT_MISMATCH,
        )
        if mismatch:
            self._context.count("leaf_answers_dropped", reason=outcome.reason.value)  # type: ignore[union-attr]
        self._update_limiter(active, answer, outcome, now_s)
        latency_ms = (now_s - active.sent.sent_s) * 1000
        active.task.finish(LeafResult(outcome, max(0, answer.snapshot), latency_ms))

    def _update_limiter(
        self, active: _ActiveCall, answer: LeafAnswer, outcome: Outcome, now_s: float
    ) -> None:
        self._state.version = answer.version or self._state.version
        self._state.connected = True
        current = self._state.limiter.on_headers(
            now_s, boot_id=answer.boot_id, draining=answer.draining
        )
        if not current or active.abandoned:
            return
        before = (self._state.limiter.state, self._state.limiter.limit)
        if isinstance(outcome, Completed):
            self._check_slow_answer(now_s - active.sent.sent_s, now_s)
            self._state.limiter.on_good_answer(active.sent, now_s)
        elif outcome.reason is Reason.UPSTREAM_SHED:
            self._state.limiter.on_shed(
                now_s, retry_after_s=answer.retry_after_ms / 1000
            )
        elif outcome.reason is Reason.UPSTREAM_ERROR:
            self._state.limiter.on_failure()
        if before != (self._state.limiter.state, self._state.limiter.limit):
            self._context.publish()
            self._status.poll_now()

    def _check_slow_answer(self, latency_s: float, now_s: float) -> None:
        if not self._state.limiter.service_time.warrants_status_check(latency_s):
            return
        if self._state.limiter.state in (UpstreamState.WARMING, UpstreamState.WARM):
            self._state.hold_until_s = now_s + SLOW_ANSWER_HOLD_S
            self._status.poll_now()

    def _on_error(self, active: _ActiveCall, error: LeafCallError) -> None:
        if error.unreachable:
            self._status.on_unreachable(str(error.message))
        else:
            self._state.limiter.on_connection_lost()
            self._status.poll_now()
        active.task.finish(self._failure_result(active, Reason.CONNECTION_LOST))

    def _failure_result(self, active: _ActiveCall, reason: Reason) -> LeafResult:
        """Return a refusal if nothing was written, otherwise a failure."""
        if not active.call.written:
            if reason is Reason.CONNECTION_LOST:
                reason = Reason.UPSTREAM_UNAVAILABLE
            return LeafResult(Refused(reason))
        latency_ms = (self._context.clock.monotonic_s() - active.sent.sent_s) * 1000
        outcome = Failed(reason, Verdict.MAY_HAVE_RUN)
        return LeafResult(outcome, latency_ms=latency_ms)

    def _on_deadline(self, active: _ActiveCall) -> None:
        if not active.abandoned:
            self._state.limiter.on_late(active.sent, self._context.clock.monotonic_s())
        self._abandon(active, Reason.DEADLINE)
        self._end_call_after(active, DEADLINE_GRACE_S)

    def _abandon(self, active: _ActiveCall, reason: Reason) -> None:
        """Deliver a failure now but keep the slot until the call has ended."""
        if active.abandoned:
            return
        active.abandoned = True
        active.task.finish(self._failure_result(active, reason))
        if not active.call.written:
            self._end_call_after(active, 0.0)
        elif active.task.idempotent:
            self._spawn(self._cancel_upstream(active))

    async def _cancel_upstream(self, active: _ActiveCall) -> None:
        """Ask the upstream to cancel a call and free its slot once it confirms.

        Without a confirmation the upstream may still work on the call, so that the
        slot stays taken until the deadline.
        """
        self._context.count("leaf_cancels")
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                await self._state.client.cancel(active.call.request_id)
        except (LeafCallError, TimeoutError):
            self._context.count("leaf_cancel_failures")
            return
        self._end_call_after(active, CANCEL_GRACE_S)

    def _end_call_after(self, active: _ActiveCall, delay_s: float) -> None:
        job = active.job
        if job is None or job.done():
            return
        if delay_s == 0.0:
            job.cancel()
            return
        loop = asyncio.get_running_loop()
        active.timers.append(loop.call_later(delay_s, job.cancel))
