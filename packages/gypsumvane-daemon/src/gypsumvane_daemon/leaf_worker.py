"""The work of one upstream at its home: queue, calls in progress, status."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.leaf_queue import LeafQueue
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_core.upstream_trust import DrainCause
from gypsumvane_core.upstream_trust import SentCall
from gypsumvane_core.upstream_trust import StatusReport
from gypsumvane_core.upstream_trust import UpstreamTrust
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.leaf_answer_check import judge_answer
from gypsumvane_daemon.leaf_task import LeafResult
from gypsumvane_daemon.upstream_client import LeafAnswer
from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError
from gypsumvane_daemon.upstream_client import UpstreamClient
from gypsumvane_daemon.upstream_client import is_header_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.document_models import Policy
    from gypsumvane_daemon.leaf_task import LeafTask
    from gypsumvane_daemon.upstream_ports import HomeAuthority

logger = logging.getLogger(__name__)

STATUS_INTERVAL_S = 1.0
OUTAGE_STATUS_INTERVAL_S = 0.2
# Connections beside those of the calls: one for status, one to cancel.
CONTROL_CONNECTIONS = 2
# A waiting queue is looked at again this often, because authority and
# deadlines change without an event.
RECHECK_S = 0.02
# Time for the response to a cancelled call, after which its connection is
# closed and its slot counts as free.
CANCEL_GRACE_S = 0.1
# A call ends this long after its deadline at the latest; membership allows
# for it with `takeover_margin_ms` before another home may send.
DEADLINE_GRACE_S = 0.2
STATUS_FAILURES_MAX = 3
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


class LeafWorker:
    """Send the requests of one upstream within its limits."""

    def __init__(
        self,
        leaf: LeafModel,
        policy: Policy,
        *,
        clock: Clock,
        authority: HomeAuthority,
        next_request_id: Callable[[], str],
        count: Callable[..., None],
        publish: Callable[[UpstreamBrief], None],
    ) -> None:
        self.leaf = leaf
        self.policy = policy
        self.trust = UpstreamTrust(policy, leaf.slots)
        self.snapshots: list[int] = []
        # The worker of an earlier assignment; its calls still take slots.
        self.predecessor: LeafWorker | None = None
        self._clock = clock
        self._authority = authority
        self._next_request_id = next_request_id
        self._count = count
        self._publish = publish
        self._queue: LeafQueue[LeafTask] = LeafQueue(policy.leaf_queue_max)
        self._runs: dict[LeafTask, _Run] = {}
        self._client = UpstreamClient(leaf.address, connections=1)
        self._wake: asyncio.TimerHandle | None = None
        self._jobs: set[asyncio.Task[None]] = set()
        self._poller: asyncio.Task[None] | None = None
        self._status_failures = 0
        self._connected = False
        # Set to ask for a status report at once.
        self._probe = asyncio.Event()
        self._doubt_until_s = float("-inf")
        self._version = ""

    # Life cycle.

    def assign(self) -> None:
        """Begin as the home of the upstream."""
        self.trust.assign()
        self._poller = asyncio.create_task(
            self._poll(), name=f"status-{self.leaf.leaf_id}"
        )

    def release(self, reason: Reason) -> None:
        """Stop sending; calls in progress end by themselves."""
        self.trust.release()
        self._refuse_queue(reason)
        if self._poller is not None:
            self._poller.cancel()
            self._poller = None

    async def close(self) -> None:
        """Wait for the calls in progress and close the connections."""
        self.release(Reason.STOPPING)
        await asyncio.gather(*self._jobs, return_exceptions=True)
        if self._wake is not None:
            self._wake.cancel()
        await self._client.close()

    def configure(self, leaf: LeafModel, policy: Policy) -> None:
        """Take over changed topology and policy."""
        self.leaf = leaf
        self.policy = policy
        self.trust.configure(policy, leaf.slots)
        self._queue.entries_max = policy.leaf_queue_max

    def set_drain(self, cause: DrainCause, *, on: bool) -> None:
        """Start or end a drain."""
        self.trust.set_drain(cause, on=on)
        self.pump()

    @property
    def idle(self) -> bool:
        """Return whether no call is in progress, also of earlier assignments."""
        return not self._runs and self._is_predecessor_idle()

    def _is_predecessor_idle(self) -> bool:
        if self.predecessor is not None and self.predecessor.idle:
            self.predecessor = None
        return self.predecessor is None

    # Requests.

    def submit(self, task: LeafTask) -> None:
        """Queue a request and send it as soon as the limits allow."""
        refusal = self._refusal_at_arrival(task)
        if refusal is not None:
            self._refuse(task, refusal)
            return
        dropped = self._queue.push(
            task, priority=task.priority, deadline_s=task.deadline_s
        )
        if dropped is not None and dropped is not task:
            self._refuse(dropped, Reason.QUEUE_FULL)
        self.pump()
        if dropped is task:
            self._refuse(task, Reason.QUEUE_FULL)

    def cancel(self, task: LeafTask) -> None:
        """Give up a request that nobody waits for any more."""
        if self._queue.remove(task):
            self._refuse(task, Reason.CANCELLED)
            return
        run = self._runs.get(task)
        if run is not None:
            self._abandon(run, Reason.CANCELLED)

    def pump(self) -> None:
        """Send waiting requests as far as the limits allow."""
        if not len(self._queue):
            return
        reason = self._standing_refusal()
        if reason is not None:
            self._refuse_queue(reason)
            return
        now_s = self._clock.monotonic_s()
        self._drop_late(now_s)
        self._check_connections()
        while len(self._queue):
            wait_s = self._send_wait_s(now_s)
            if wait_s != 0.0:
                self._wake_after(RECHECK_S if wait_s is None else wait_s)
                return
            task = self._queue.pop()
            if task is not None:
                self._start(task, now_s)

    def _refusal_at_arrival(self, task: LeafTask) -> Reason | None:
        reason = self._standing_refusal()
        if reason is not None:
            return reason
        if not is_header_value(task.caller_id + task.idempotency_key):
            return Reason.BAD_REQUEST
        now_s = self._clock.monotonic_s()
        if task.deadline_s <= now_s:
            return Reason.DEADLINE
        if self.idle and not len(self._queue):
            return None
        ahead = self._queue.ahead_of(task.priority, task.deadline_s)
        rounds = 1 + ahead // max(1, self.trust.limit)
        finish_s = now_s + rounds * self.trust.service_time.recent_s
        return Reason.DEADLINE if finish_s >= task.deadline_s else None

    def _standing_refusal(self) -> Reason | None:
        state = self.trust.state
        if state is UpstreamState.DRAINING:
            if DrainCause.DOMAIN in self.trust.drain_causes:
                return Reason.DOMAIN_OUT
            return Reason.UPSTREAM_LEAVING
        if state is UpstreamState.UNAVAILABLE:
            return Reason.UPSTREAM_UNAVAILABLE
        return Reason.NOT_HOME if state is UpstreamState.UNKNOWN else None

    def _send_wait_s(self, now_s: float) -> float | None:
        if now_s < self._doubt_until_s:
            return None
        if not self._is_predecessor_idle():
            return None
        allowance = self._authority.allowance
        leaf_id = self.leaf.leaf_id
        # Half of 1 rounded down, the share of an unconfirmed home, is 0.
        return self.trust.send_wait_s(
            now_s,
            in_progress=len(self._runs),
            slots_allowed=allowance(leaf_id, self.leaf.slots),
            confirmed=allowance(leaf_id, 1) >= 1,
        )

    def _drop_late(self, now_s: float) -> None:
        # Without a call in progress the recent time is not refreshed, so only
        # the deadline itself counts then.
        service_s = 0.0 if self.idle else self.trust.service_time.recent_s
        for task in self._queue.drop_unfinishable(now_s, service_s):
            self._refuse(task, Reason.DEADLINE)

    def _check_connections(self) -> None:
        # A restarted upstream has closed all kept connections.
        if self.idle and self._connected and not self._client.open_connections():
            self._connected = False
            self.trust.on_connection_lost()

    def _refuse(self, task: LeafTask, reason: Reason) -> None:
        self._count("leaf_refusals", reason=reason.value)
        task.refuse(Refused(reason))

    def _refuse_queue(self, reason: Reason) -> None:
        for task in self._queue.clear():
            self._refuse(task, reason)

    def _wake_after(self, delay_s: float) -> None:
        if self._wake is not None:
            self._wake.cancel()
        loop = asyncio.get_running_loop()
        self._wake = loop.call_later(delay_s, self.pump)

    # Calls.

    def _start(self, task: LeafTask, now_s: float) -> None:
        left_s = min(task.deadline_s - now_s, self.policy.leaf_call_max_ms / 1000)
        call = LeafCall(
            request_id=self._next_request_id(),
            path=task.path,
            body=task.body,
            deadline_left_ms=max(1, int(left_s * 1000)),
            snapshot=task.snapshot,
            caller_id=task.caller_id,
            idempotency_key=task.idempotency_key,
        )
        run = _Run(task=task, call=call, sent=self.trust.on_sent(now_s))
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
            answer = await self._client.send(run.call)
        except LeafCallError as error:
            self._on_error(run, error)
        except asyncio.CancelledError:
            run.task.finish(self._failed(run, Reason.CANCELLED))
        else:
            self._on_answer(run, answer)

    def _end(self, run: _Run) -> None:
        """Free the slot of a call that has ended."""
        for timer in run.timers:
            timer.cancel()
        if run.job is not None:
            self._jobs.discard(run.job)
        del self._runs[run.task]
        self.pump()

    def _on_answer(self, run: _Run, answer: LeafAnswer) -> None:
        now_s = self._clock.monotonic_s()
        outcome = judge_answer(run.task, answer, run.call.request_id)
        mismatch = isinstance(outcome, Failed) and outcome.reason in (
            Reason.ANSWER_MISMATCH,
            Reason.SNAPSHOT_MISMATCH,
        )
        if mismatch:
            self._count("leaf_answers_dropped", reason=outcome.reason.value)  # type: ignore[union-attr]
        self._learn(run, answer, outcome, now_s)
        latency_ms = (now_s - run.sent.sent_s) * 1000
        run.task.finish(LeafResult(outcome, max(0, answer.snapshot), latency_ms))

    def _learn(
        self, run: _Run, answer: LeafAnswer, outcome: Outcome, now_s: float
    ) -> None:
        self._version = answer.version or self._version
        self._connected = True
        current = self.trust.on_headers(
            now_s, boot_id=answer.boot_id, draining=answer.draining
        )
        if not current or run.abandoned:
            return
        before = (self.trust.state, self.trust.limit)
        if isinstance(outcome, Completed):
            self._check_slowdown(now_s - run.sent.sent_s, now_s)
            self.trust.on_good_answer(run.sent, now_s)
        elif outcome.reason is Reason.UPSTREAM_SHED:
            self.trust.on_shed(now_s, retry_after_s=answer.retry_after_ms / 1000)
        elif outcome.reason is Reason.UPSTREAM_ERROR:
            self.trust.on_failure()
        if before != (self.trust.state, self.trust.limit):
            self.publish()
            self._probe.set()

    def _check_slowdown(self, took_s: float, now_s: float) -> None:
        if not self.trust.service_time.is_doubtful(took_s):
            return
        if self.trust.state in (UpstreamState.WARMING, UpstreamState.WARM):
            self._doubt_until_s = now_s + DOUBT_HOLD_S
            self._probe.set()

    def _on_error(self, run: _Run, error: LeafCallError) -> None:
        if error.unreachable:
            self._on_unreachable(str(error.message))
        else:
            self.trust.on_connection_lost()
            self._probe.set()
        run.task.finish(self._failed(run, Reason.CONNECTION_LOST))

    def _failed(self, run: _Run, reason: Reason) -> LeafResult:
        """Return a failure whose verdict follows from what was written."""
        if not run.call.written:
            if reason is Reason.CONNECTION_LOST:
                reason = Reason.UPSTREAM_UNAVAILABLE
            return LeafResult(Refused(reason))
        latency_ms = (self._clock.monotonic_s() - run.sent.sent_s) * 1000
        outcome = Failed(reason, Verdict.MAY_HAVE_RUN)
        return LeafResult(outcome, latency_ms=latency_ms)

    def _on_deadline(self, run: _Run) -> None:
        if not run.abandoned:
            self.trust.on_late(run.sent, self._clock.monotonic_s())
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
        self._count("leaf_cancels")
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                await self._client.cancel(run.call.request_id)
        except (LeafCallError, TimeoutError):
            self._count("leaf_cancel_failures")
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

    # Status.

    async def _poll(self) -> None:
        while True:
            self._probe.clear()
            self._apply_connection_limit()
            if self._connections_allowed() >= 1:
                await self._poll_once()
            self.publish()
            self.pump()
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        unavailable = self.trust.state is UpstreamState.UNAVAILABLE
        interval_s = OUTAGE_STATUS_INTERVAL_S if unavailable else STATUS_INTERVAL_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._probe.wait()

    async def _poll_once(self) -> None:
        try:
            answer = await self._client.status()
        except LeafCallError as error:
            if error.foreign:
                reason = Reason.ANSWER_MISMATCH.value
                self._count("leaf_answers_dropped", reason=reason)
                return
            self._status_failures += 1
            # A full upstream may be late with its status; a closed connection
            # is an outage.
            if not error.late or self._status_failures >= STATUS_FAILURES_MAX:
                self._on_unreachable(error.message)
            return
        self._status_failures = 0
        self._connected = True
        self._doubt_until_s = float("-inf")
        self._read_status(answer)
        if self.trust.limit:
            await self._client.open_ahead(self._connections_wanted())

    def _read_status(self, answer: LeafAnswer) -> None:
        try:
            body = json.loads(answer.body)
            snapshots = sorted(int(number) for number in body.get("snapshots", []))
        except (ValueError, TypeError, AttributeError):
            self._count("leaf_status_invalid")
            return
        self.snapshots = snapshots
        self._version = answer.version or str(body.get("version", ""))
        self.trust.on_report(
            StatusReport(
                answering_boot_id=answer.boot_id,
                draining=answer.draining or body.get("draining") is True,
                cold=body.get("cold") is True,
            ),
            self._clock.monotonic_s(),
        )

    def _on_unreachable(self, cause: str) -> None:
        before = self.trust.state
        self.trust.on_unreachable()
        if self.trust.state is not before:
            logger.warning(
                "upstream is unavailable",
                extra={"leaf": self.leaf.leaf_id, "cause": cause},
            )
            self.publish()

    def _connections_wanted(self) -> int:
        return min(self._connections_allowed(), self.trust.limit + 1)

    def _connections_allowed(self) -> int:
        allowed = self._authority.allowance(
            self.leaf.leaf_id, self.leaf.connections_max
        )
        # Calls never need more, and staying below half of the maximum leaves
        # room for another home while a paused one still holds connections.
        return min(allowed, self.leaf.slots + CONTROL_CONNECTIONS)

    def _apply_connection_limit(self) -> None:
        self._client.set_connections(self._connections_allowed())

    def publish(self) -> None:
        """Publish a brief of the upstream."""
        trust = self.trust
        self._publish(
            UpstreamBrief(
                leaf_id=self.leaf.leaf_id,
                state=trust.state.value,
                limit=trust.limit,
                queued=len(self._queue),
                latency_ms=trust.service_time.recent_s * 1000,
                snapshots=list(self.snapshots),
                version=self._version or self.leaf.version,
                boot_id=trust.boot_id,
            )
        )
