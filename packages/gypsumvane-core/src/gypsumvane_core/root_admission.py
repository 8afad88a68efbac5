"""Admission control for callers' requests at a root."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.caller_queue import CallerQueue
from gypsumvane_core.in_flight_limit import InFlightLimit
from gypsumvane_core.priority import Priority
from gypsumvane_core.reason import Reason
from gypsumvane_core.run_time_estimator import RunTimeEstimator

if TYPE_CHECKING:
    from gypsumvane_core.admission_request import AdmissionRequest

# Runs may exceed the limit by this share, so that searches in flight never keep a
# booking out.
RUN_RESERVE_SHARE = 0.125
RUN_RESERVE_MIN = 2


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Record a request in flight."""

    request: AdmissionRequest
    begun_s: float
    generation: int


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """Record a refused request and the reason."""

    request: AdmissionRequest
    reason: Reason


@dataclass(slots=True)
class AdmissionDecision:
    """List the requests to start and those to refuse."""

    admitted: list[AdmittedRequest] = field(default_factory=list)
    refused: list[RefusedRequest] = field(default_factory=list)


class RootAdmission:
    """Limit the requests in flight and the queue of waiting ones."""

    def __init__(self, *, in_flight_max: int, queue_max: int) -> None:
        self.queue_max = queue_max
        self.in_flight = 0
        self.in_flight_limit = InFlightLimit(in_flight_max)
        self._queue = CallerQueue()
        self._run_times = {priority: RunTimeEstimator() for priority in Priority}

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def configure(self, *, in_flight_max: int, queue_max: int) -> None:
        """Apply changed bounds."""
        self.in_flight_limit.limit_max = in_flight_max
        self.queue_max = queue_max

    def offer(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Admit, queue or refuse a new request."""
        request.arrived_s = now_s
        decision = AdmissionDecision()
        if not self._can_finish(request, now_s):
            decision.refused.append(RefusedRequest(request, Reason.DEADLINE))
            return decision
        self._queue.push(request)
        self._admit_waiting(decision, now_s)
        if len(self._queue) > self.queue_max:
            self._refuse_late(decision, now_s)
        if len(self._queue) > self.queue_max:
            decision.refused.append(self._evict_for(request))
        return decision

    def finish(
        self, admitted: AdmittedRequest, now_s: float, *, in_time: bool
    ) -> AdmissionDecision:
        """Record the end of a request and admit waiting ones."""
        self.in_flight -= 1
        request = admitted.request
        if in_time:
            self._run_times[request.priority].add(now_s - admitted.begun_s, now_s)
        allowed_s = max(1e-9, request.deadline_s - request.arrived_s)
        run_share = (now_s - admitted.begun_s) / allowed_s
        self.in_flight_limit.on_finish(
            in_time=in_time,
            run_share=run_share,
            generation=admitted.generation,
        )
        decision = AdmissionDecision()
        self._admit_waiting(decision, now_s)
        return decision

    def abandon(self, now_s: float) -> AdmissionDecision:
        """Record the end of a request whose caller has left, without sampling it."""
        self.in_flight -= 1
        decision = AdmissionDecision()
        self._admit_waiting(decision, now_s)
        return decision

    def pop_all_waiting(self) -> list[AdmissionRequest]:
        """Remove and return all waiting requests."""
        waiting = list(self._queue)
        for request in waiting:
            self._queue.remove(request)
        return waiting

    def withdraw(self, request: AdmissionRequest) -> bool:
        """Remove a waiting request whose caller has left."""
        return self._queue.remove(request)

    def sweep(self, now_s: float) -> AdmissionDecision:
        """Refuse the waiting requests that can no longer finish in time."""
        decision = AdmissionDecision()
        self._refuse_late(decision, now_s)
        self._admit_waiting(decision, now_s)
        return decision

    def _admit_waiting(self, decision: AdmissionDecision, now_s: float) -> None:
        while len(self._queue):
            priorities = self._open_priorities()
            request = self._queue.pop(priorities, now_s) if priorities else None
            if request is None:
                self.in_flight_limit.record_limit_reached()
                return
            if not self._can_finish(request, now_s):
                decision.refused.append(RefusedRequest(request, Reason.DEADLINE))
                continue
            self.in_flight += 1
            self.in_flight_limit.record_in_flight(self.in_flight)
            generation = self.in_flight_limit.generation
            decision.admitted.append(AdmittedRequest(request, now_s, generation))

    def _open_priorities(self) -> tuple[Priority, ...]:
        limit = self.in_flight_limit.limit
        if self.in_flight < limit:
            return tuple(Priority)
        reserve = max(RUN_RESERVE_MIN, int(limit * RUN_RESERVE_SHARE))
        return (Priority.RUN,) if self.in_flight < limit + reserve else ()

    def _can_finish(self, request: AdmissionRequest, now_s: float) -> bool:
        if request.deadline_s <= now_s:
            return False
        # With nothing in flight there are no samples to correct an outdated estimate.
        if self.in_flight == 0:
            return True
        run_time = self._run_times[request.priority]
        # Bookings are refused last: only if a run of mean duration would be late.
        is_run = request.priority is Priority.RUN
        needed_s = (
            run_time.mean_s(now_s) if is_run else run_time.upper_estimate_s(now_s)
        )
        return now_s + needed_s < request.deadline_s

    def _refuse_late(self, decision: AdmissionDecision, now_s: float) -> None:
        late = [r for r in self._queue if not self._can_finish(r, now_s)]
        for request in late:
            self._queue.remove(request)
            decision.refused.append(RefusedRequest(request, Reason.DEADLINE))

    def _evict_for(self, new_request: AdmissionRequest) -> RefusedRequest:
        request = self._queue.evict_for(new_request)
        if request is None:
            self._queue.remove(new_request)
            return RefusedRequest(new_request, Reason.QUEUE_FULL)
        same_priority = request.priority is new_request.priority
        reason = Reason.CALLER_LIMIT if same_priority else Reason.QUEUE_FULL
        return RefusedRequest(request, reason)
