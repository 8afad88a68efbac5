"""Queue and limits of one upstream at its home."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gypsumvane_core.leaf_queue import LeafQueue
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_limiter import DrainCause
from gypsumvane_core.upstream_limiter import UpstreamLimiter
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_daemon.leaf_calls import LeafCalls
from gypsumvane_daemon.leaf_state import LeafContext
from gypsumvane_daemon.leaf_state import LeafState
from gypsumvane_daemon.leaf_status import LeafStatusPoller
from gypsumvane_daemon.upstream_client import UpstreamClient
from gypsumvane_daemon.upstream_client import is_header_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.document_models import Policy
    from gypsumvane_daemon.leaf_task import LeafTask
    from gypsumvane_daemon.upstream_ports import HomeAuthority

# Interval at which a non-empty queue is rechecked, because the allowance and the
# deadlines change without an event.
RECHECK_INTERVAL_S = 0.02


class LeafWorker:
    """Queue the requests to one upstream and send them within its limits."""

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
        # The worker of an earlier assignment, whose calls still occupy slots.
        self.predecessor: LeafWorker | None = None
        self.limiter = UpstreamLimiter(policy, leaf.slots)
        self._state = LeafState(
            leaf, policy, self.limiter, UpstreamClient(leaf.address, connections=1)
        )
        self._clock = clock
        self._authority = authority
        self._count = count
        self._publish = publish
        self._queue: LeafQueue[LeafTask] = LeafQueue(policy.leaf_queue_max)
        context = LeafContext(
            clock, count, dispatch=self.dispatch, publish=self.publish
        )
        self._status = LeafStatusPoller(self._state, context, authority=authority)
        self._calls = LeafCalls(
            self._state, context, status=self._status, next_request_id=next_request_id
        )
        self._dispatch_timer: asyncio.TimerHandle | None = None

    @property
    def leaf(self) -> LeafModel:
        """Return the upstream's entry in the topology."""
        return self._state.leaf

    # Life cycle.

    def assign(self) -> None:
        """Start serving as the home of the upstream."""
        self.limiter.assign()
        self._status.start()

    def release(self, reason: Reason) -> None:
        """Stop sending and refuse the queue; calls in progress continue."""
        self.limiter.release()
        self._refuse_queue(reason)
        self._status.stop()

    async def close(self) -> None:
        """Release the upstream, wait for its calls and close the connections."""
        self.release(Reason.STOPPING)
        await self._calls.close()
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        await self._state.client.close()

    def configure(self, leaf: LeafModel, policy: Policy) -> None:
        """Apply changed topology and policy."""
        self._state.leaf = leaf
        self._state.policy = policy
        self.limiter.configure(policy, leaf.slots)
        self._queue.entries_max = policy.leaf_queue_max

    def set_drain(self, cause: DrainCause, *, on: bool) -> None:
        """Start or end a drain for one cause."""
        self.limiter.set_drain(cause, on=on)
        self.dispatch()

    @property
    def idle(self) -> bool:
        """Return whether no call is in progress, including earlier assignments."""
        return not len(self._calls) and self._is_predecessor_idle()

    def _is_predecessor_idle(self) -> bool:
        if self.predecessor is not None and self.predecessor.idle:
            self.predecessor = None
        return self.predecessor is None

    # Requests.

    def submit(self, task: LeafTask) -> None:
        """Queue a request and send it as soon as the limits allow."""
        refusal = self._submit_refusal(task)
        if refusal is not None:
            self._refuse(task, refusal)
            return
        dropped = self._queue.push(
            task, priority=task.priority, deadline_s=task.deadline_s
        )
        if dropped is not None and dropped is not task:
            self._refuse(dropped, Reason.QUEUE_FULL)
        self.dispatch()
        if dropped is task:
            self._refuse(task, Reason.QUEUE_FULL)

    def cancel(self, task: LeafTask) -> None:
        """Cancel a request whose result is no longer needed."""
        if self._queue.remove(task):
            self._refuse(task, Reason.CANCELLED)
            return
        self._calls.cancel(task)

    def dispatch(self) -> None:
        """Send queued requests as far as the limits allow."""
        if not len(self._queue):
            return
        reason = self._state_refusal()
        if reason is not None:
            self._refuse_queue(reason)
            return
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        self._check_lost_connections()
        while len(self._queue):
            wait_s = self._send_wait_s(now_s)
            if wait_s != 0.0:
                self._schedule_dispatch(
                    RECHECK_INTERVAL_S if wait_s is None else wait_s
                )
                return
            task = self._queue.pop()
            if task is not None:
                self._calls.start(task, now_s)

    def _submit_refusal(self, task: LeafTask) -> Reason | None:
        reason = self._state_refusal()
        if reason is not None:
            return reason
        if not is_header_value(task.caller_id + task.idempotency_key):
            return Reason.BAD_REQUEST
        now_s = self._clock.monotonic_s()
        if task.deadline_s <= now_s:
            return Reason.DEADLINE
        if self.idle and not len(self._queue):
            return None
        ahead = self._queue.count_ahead(task.priority, task.deadline_s)
        rounds = 1 + ahead // max(1, self.limiter.limit)
        finish_s = now_s + rounds * self.limiter.service_time.recent_s
        return Reason.DEADLINE if finish_s >= task.deadline_s else None

    def _state_refusal(self) -> Reason | None:
        state = self.limiter.state
        if state is UpstreamState.DRAINING:
            if DrainCause.DOMAIN in self.limiter.drain_causes:
                return Reason.DOMAIN_OUT
            return Reason.UPSTREAM_LEAVING
        if state is UpstreamState.UNAVAILABLE:
            return Reason.UPSTREAM_UNAVAILABLE
        return Reason.NOT_HOME if state is UpstreamState.UNKNOWN else None

    def _send_wait_s(self, now_s: float) -> float | None:
        if now_s < self._state.hold_until_s:
            return None
        if not self._is_predecessor_idle():
            return None
        allowance = self._authority.allowance
        leaf_id = self.leaf.leaf_id
        # The allowance of an unconfirmed home is half of the limit, rounded down,
        # so for a limit of 1 it is 0.
        return self.limiter.send_wait_s(
            now_s,
            in_progress=len(self._calls),
            slots_allowed=allowance(leaf_id, self.leaf.slots),
            confirmed=allowance(leaf_id, 1) >= 1,
        )

    def _drop_expired(self, now_s: float) -> None:
        # The recent service time is only updated by calls, so without a call in
        # progress it may be out of date and only the deadline counts.
        service_s = 0.0 if self.idle else self.limiter.service_time.recent_s
        for task in self._queue.drop_unfinishable(now_s, service_s):
            self._refuse(task, Reason.DEADLINE)

    def _check_lost_connections(self) -> None:
        # An upstream that restarts closes all keep-alive connections.
        state = self._state
        if self.idle and state.connected and not state.client.open_connections():
            state.connected = False
            self.limiter.on_connection_lost()

    def _refuse(self, task: LeafTask, reason: Reason) -> None:
        self._count("leaf_refusals", reason=reason.value)
        task.refuse(Refused(reason))

    def _refuse_queue(self, reason: Reason) -> None:
        for task in self._queue.clear():
            self._refuse(task, reason)

    def _schedule_dispatch(self, delay_s: float) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        loop = asyncio.get_running_loop()
        self._dispatch_timer = loop.call_later(delay_s, self.dispatch)

    def publish(self) -> None:
        """Publish the state summary (brief) of the upstream."""
        limiter = self.limiter
        self._publish(
            UpstreamBrief(
                leaf_id=self.leaf.leaf_id,
                state=limiter.state.value,
                limit=limiter.limit,
                queued=len(self._queue),
                latency_ms=limiter.service_time.recent_s * 1000,
                snapshots=list(self._state.snapshots),
                version=self._state.version or self.leaf.version,
                boot_id=limiter.boot_id,
            )
        )
