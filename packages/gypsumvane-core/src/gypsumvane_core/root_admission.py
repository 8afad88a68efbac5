"""Admission of callers' requests at a root."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.caller_queue import CallerQueue
from gypsumvane_core.in_flight_limit import InFlightLimit
from gypsumvane_core.priority import Priority
from gypsumvane_core.reason import Reason
from gypsumvane_core.run_time import RunTime

if TYPE_CHECKING:
    from gypsumvane_core.admission_request import AdmissionRequest

# Runs may pass the limit by this share, so that searches in flight never
# keep a booking out.
RUN_RESERVE_SHARE = 0.125
RUN_RESERVE_MIN = 2


@dataclass(frozen=True, slots=True)
class Admitted:
    """Remember a request in flight."""

    request: AdmissionRequest
    begun_s: float
    generation: int


@dataclass(frozen=True, slots=True)
class Turned:
    """Name a request that is refused and why."""

    request: AdmissionRequest
    reason: Reason


@dataclass(slots=True)
class AdmissionStep:
    """List the requests that begin and those that are refused."""

    admitted: list[Admitted] = field(default_factory=list)
    refused: list[Turned] = field(default_factory=list)


class RootAdmission:
    """Bound the requests in flight and the queue in front of them."""

    def __init__(self, *, in_flight_max: int, queue_max: int) -> None:
        self.queue_max = queue_max
        self.in_flight = 0
        self.in_flight_limit = InFlightLimit(in_flight_max)
        self._queue = CallerQueue()
        self._run_times = {priority: RunTime() for priority in Priority}

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def configure(self, *, in_flight_max: int, queue_max: int) -> None:
        """Take over changed bounds."""
        self.in_flight_limit.limit_max = in_flight_max
        self.queue_max = queue_max

    def offer(self, request: AdmissionRequest, now_s: float) -> AdmissionStep:
        """Take a new request; it begins, waits or is refused."""
        request.arrived_s = now_s
        step = AdmissionStep()
        if not self._can_finish(request, now_s):
            step.refused.append(Turned(request, Reason.DEADLINE))
            return step
        self._queue.push(request)
        self._begin_waiting(step, now_s)
        if len(self._queue) > self.queue_max:
            self._drop_late(step, now_s)
        if len(self._queue) > self.queue_max:
            step.refused.append(self._drop_excess(request))
        return step

    def finish(
        self, admitted: Admitted, now_s: float, *, in_time: bool
    ) -> AdmissionStep:
        """Record the end of a request and begin waiting ones."""
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
        step = AdmissionStep()
        self._begin_waiting(step, now_s)
        return step

    def abandon(self, now_s: float) -> AdmissionStep:
        """End a request whose caller has left, without judging its time."""
        self.in_flight -= 1
        step = AdmissionStep()
        self._begin_waiting(step, now_s)
        return step

    def take_waiting(self) -> list[AdmissionRequest]:
        """Remove and return all waiting requests."""
        waiting = list(self._queue)
        for request in waiting:
            self._queue.remove(request)
        return waiting

    def withdraw(self, request: AdmissionRequest) -> bool:
        """Remove a waiting request whose caller has left."""
        return self._queue.remove(request)

    def sweep(self, now_s: float) -> AdmissionStep:
        """Refuse the waiting requests that can no longer finish in time."""
        step = AdmissionStep()
        self._drop_late(step, now_s)
        self._begin_waiting(step, now_s)
        return step

    def _begin_waiting(self, step: AdmissionStep, now_s: float) -> None:
        while len(self._queue):
            priorities = self._open_priorities()
            request = self._queue.pop(priorities, now_s) if priorities else None
            if request is None:
                self.in_flight_limit.note_full()
                return
            if not self._can_finish(request, now_s):
                step.refused.append(Turned(request, Reason.DEADLINE))
                continue
            self.in_flight += 1
            self.in_flight_limit.note_in_flight(self.in_flight)
            generation = self.in_flight_limit.generation
            step.admitted.append(Admitted(request, now_s, generation))

    def _open_priorities(self) -> tuple[Priority, ...]:
        limit = self.in_flight_limit.limit
        if self.in_flight < limit:
            return tuple(Priority)
        reserve = max(RUN_RESERVE_MIN, int(limit * RUN_RESERVE_SHARE))
        return (Priority.RUN,) if self.in_flight < limit + reserve else ()

    def _can_finish(self, request: AdmissionRequest, now_s: float) -> bool:
        if request.deadline_s <= now_s:
            return False
        # With nothing in flight an outdated estimate would never be corrected.
        if self.in_flight == 0:
            return True
        run_time = self._run_times[request.priority]
        # A run is refused only when it would usually be late, because bookings
        # are refused last.
        is_run = request.priority is Priority.RUN
        needed_s = run_time.usual_s(now_s) if is_run else run_time.needed_s(now_s)
        return now_s + needed_s < request.deadline_s

    def _drop_late(self, step: AdmissionStep, now_s: float) -> None:
        late = [r for r in self._queue if not self._can_finish(r, now_s)]
        for request in late:
            self._queue.remove(request)
            step.refused.append(Turned(request, Reason.DEADLINE))

    def _drop_excess(self, newcomer: AdmissionRequest) -> Turned:
        request = self._queue.pop_excess(newcomer)
        if request is None:
            self._queue.remove(newcomer)
            return Turned(newcomer, Reason.QUEUE_FULL)
        same_priority = request.priority is newcomer.priority
        reason = Reason.CALLER_LIMIT if same_priority else Reason.QUEUE_FULL
        return Turned(request, reason)
