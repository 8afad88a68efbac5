"""The calls in progress at one upstream."""

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
from gypsumvane_daemon.leaf_answer_check import judge_answer
from gypsumvane_daemon.leaf_task import LeafResult
from gypsumvane_daemon.upstream_client import LeafAnswer
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.upstream_trust import SentCall
    from gypsumvane_daemon.leaf_state import LeafLinks
    from gypsumvane_daemon.leaf_state import LeafState
    from gypsumvane_daemon.leaf_status import LeafStatus
    from gypsumvane_daemon.leaf_task import LeafTask

# Time for the response to a cancelled call, after which its connection is
# closed and its slot counts as free.
CANCEL_GRACE_S = 0.1
# A call ends this long after its deadline at the latest; membership allows
# for it with `takeover_margin_ms` before another home may send.
DEADLINE_GRACE_S = 0.2
# After a slow answer nothing is sent until a status report has come, at most
# for this time: a leaf that turned cold must not get a second call meanwhile.
DOUBT_HOLD_S = 0.02


@dataclass(slots=True, eq=False)
class _Run:
    """Track one call in progress."""

    task: LeafTask
    call: LeafCall
    sent: SentCall
    job: asyncio.Task[None] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    abandoned: bool = False


class LeafCalls:
    """Send calls, learn from their answers and end them in time."""

    def __init__(
        self,
        state: LeafState,
        links: LeafLinks,
        *,
        status: LeafStatus,
        next_request_id: Callable[[], str],
    ) -> None:
        self._state = state
        self._links = links
        self._status = status
        self._next_request_id = next_request_id
        self._runs: dict[LeafTask, _Run] = {}
        self._jobs: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._runs)

    async def close(self) -> None:
        """Wait for the calls in progress."""
        await asyncio.gather(*self._jobs, return_exceptions=True)

    def cancel(self, task: LeafTask) -> None:
        """Give up a call that nobody waits for any more."""
        run = self._runs.get(task)
        if run is not None:
            self._abandon(run, Reason.CANCELLED)

    def start(self, task: LeafTask, now_s: float) -> None:
        """Send a request in a task of its own."""
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
        run = _Run(task=task, call=call, sent=self._state.trust.on_sent(now_s))
        self._runs[task] = run
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(left_s, self._on_deadline, run))
        run.job = asyncio.create_task(self._run(run))
        self._jobs.add(run.job)
        # A job that is cancelled before its first step runs no code of its own,
        # so the slot is freed by a callback.
        run.job.add_done_callback(lambda job: self._end(run))

    def _spawn(self, work: object) -> asyncio.Task[None]:
        job: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)
        return job

    async def _run(self, run: _Run) -> None:
        try:
            answer = await self._state.client.send(run.call)
        except LeafCallError as error:
            self._on_error(run, error)
            if run.call.written:
                await self._hold_slot(run)
        except asyncio.CancelledError:
            run.task.finish(self._failed(run, Reason.CANCELLED))
        else:
            self._on_answer(run, answer)

    async def _hold_slot(self, run: _Run) -> None:
        """Keep the slot of a written call whose connection was lost.

        A lost connection does not end the work at the upstream. A slot freed at
        once let the next call reach a cold upstream that still ran this one, so
        that the upstream fell over. The wait is cancelled once the upstream was
        asked to cancel the work, or else after the deadline, at which the
        upstream ends it.
        """
        run.abandoned = True
        self._links.count("leaf_slots_held")
        if run.task.idempotent:
            self._spawn(self._cancel_upstream(run))
        await asyncio.Event().wait()

    def _end(self, run: _Run) -> None:
        """Free the slot of a call that has ended."""
        for timer in run.timers:
            timer.cancel()
        if run.job is not None:
            self._jobs.discard(run.job)
        del self._runs[run.task]
        self._links.pump()

    def _on_answer(self, run: _Run, answer: LeafAnswer) -> None:
        now_s = self._links.clock.monotonic_s()
        outcome = judge_answer(run.task, answer, run.call.request_id)
        mismatch = isinstance(outcome, Failed) and outcome.reason in (
            Reason.ANSWER_MISMATCH,
            Reason.SNAPSHOT_MISMATCH,
        )
        if mismatch:
            self._links.count("leaf_answers_dropped", reason=outcome.reason.value)  # type: ignore[union-attr]
        self._learn(run, answer, outcome, now_s)
        latency_ms = (now_s - run.sent.sent_s) * 1000
        run.task.finish(LeafResult(outcome, max(0, answer.snapshot), latency_ms))

    def _learn(
        self, run: _Run, answer: LeafAnswer, outcome: Outcome, now_s: float
    ) -> None:
        self._state.version = answer.version or self._state.version
        self._state.connected = True
        current = self._state.trust.on_headers(
            now_s, boot_id=answer.boot_id, draining=answer.draining
        )
        if not current or run.abandoned:
            return
        before = (self._state.trust.state, self._state.trust.limit)
        if isinstance(outcome, Completed):
            self._check_slowdown(now_s - run.sent.sent_s, now_s)
            self._state.trust.on_good_answer(run.sent, now_s)
        elif outcome.reason is Reason.UPSTREAM_SHED:
            self._state.trust.on_shed(now_s, retry_after_s=answer.retry_after_ms / 1000)
        elif outcome.reason is Reason.UPSTREAM_ERROR:
            self._state.trust.on_failure()
        if before != (self._state.trust.state, self._state.trust.limit):
            self._links.publish()
            self._status.probe()

    def _check_slowdown(self, took_s: float, now_s: float) -> None:
        if not self._state.trust.service_time.is_doubtful(took_s):
            return
        if self._state.trust.state in (UpstreamState.WARMING, UpstreamState.WARM):
            self._state.doubt_until_s = now_s + DOUBT_HOLD_S
            self._status.probe()

    def _on_error(self, run: _Run, error: LeafCallError) -> None:
        if error.unreachable:
            self._status.on_unreachable(str(error.message))
        else:
            self._state.trust.on_connection_lost()
            self._status.probe()
        run.task.finish(self._failed(run, Reason.CONNECTION_LOST))

    def _failed(self, run: _Run, reason: Reason) -> LeafResult:
        """Return a failure whose verdict follows from what was written."""
        if not run.call.written:
            if reason is Reason.CONNECTION_LOST:
                reason = Reason.UPSTREAM_UNAVAILABLE
            return LeafResult(Refused(reason))
        latency_ms = (self._links.clock.monotonic_s() - run.sent.sent_s) * 1000
        outcome = Failed(reason, Verdict.MAY_HAVE_RUN)
        return LeafResult(outcome, latency_ms=latency_ms)

    def _on_deadline(self, run: _Run) -> None:
        if not run.abandoned:
            self._state.trust.on_late(run.sent, self._links.clock.monotonic_s())
        self._abandon(run, Reason.DEADLINE)
        self._end_after(run, DEADLINE_GRACE_S)

    def _abandon(self, run: _Run, reason: Reason) -> None:
        """Deliver a result now and hold the slot until the call has ended."""
        if run.abandoned:
            return
        run.abandoned = True
        run.task.finish(self._failed(run, reason))
        if not run.call.written:
            self._end_after(run, 0.0)
        elif run.task.idempotent:
            self._spawn(self._cancel_upstream(run))

    async def _cancel_upstream(self, run: _Run) -> None:
        self._links.count("leaf_cancels")
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                await self._state.client.cancel(run.call.request_id)
        except (LeafCallError, TimeoutError):
            self._links.count("leaf_cancel_failures")
        self._end_after(run, CANCEL_GRACE_S)

    def _end_after(self, run: _Run, delay_s: float) -> None:
        job = run.job
        if job is None or job.done():
            return
        if delay_s == 0.0:
            job.cancel()
            return
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(delay_s, job.cancel))
