"""Tests of admission control at a root."""

from __future__ import annotations

import heapq
import random
import unittest
from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.admission_request import AdmissionRequest
from gypsumvane_core.priority import Priority
from gypsumvane_core.reason import Reason
from gypsumvane_core.root_admission import AdmissionDecision
from gypsumvane_core.root_admission import AdmittedRequest
from gypsumvane_core.root_admission import RootAdmission


def request(
    priority: Priority = Priority.SEARCH, caller: str = "a", deadline_s: float = 10.0
) -> AdmissionRequest:
    """Return a request."""
    return AdmissionRequest(priority=priority, caller_id=caller, deadline_s=deadline_s)


class RootAdmissionTest(unittest.TestCase):
    """Check limits, order and fairness."""

    def setUp(self) -> None:
        self.admission = RootAdmission(in_flight_max=1, queue_max=3)
        self.first = self.admission.offer(request(), 0.0).admitted[0]

    def finish(self) -> AdmissionRequest | None:
        decision = self.admission.finish(self.first, 0.01, in_time=True)
        if not decision.admitted:
            return None
        self.first = decision.admitted[0]
        return self.first.request

    def fill(self, *requests: AdmissionRequest) -> list[tuple[str, Reason]]:
        steps = [self.admission.offer(r, 0.0) for r in requests]
        return [(t.request.caller_id, t.reason) for s in steps for t in s.refused]

    def test_higher_priority_begins_first(self) -> None:
        """Guard against lookups that wait behind searches."""
        self.fill(request(caller="s"), request(Priority.LOOKUP, caller="l"))
        begun = self.finish()
        assert begun is not None
        self.assertEqual(begun.caller_id, "l")

    def test_overload_admits_the_newest_search(self) -> None:
        """Guard against starting searches with too little time left."""
        old, new = request(caller="b", deadline_s=1.0), request(caller="b")
        self.admission.offer(old, 0.0)
        self.admission.offer(new, 0.4)
        decision = self.admission.finish(self.first, 0.5, in_time=True)
        self.assertIs(decision.admitted[0].request, new)

    def test_callers_take_turns(self) -> None:
        """Guard against one caller that makes all others wait."""
        self.fill(request(caller="b"), request(caller="b"), request(caller="c"))
        begun = [self.finish() for _ in range(3)]
        self.assertEqual([r.caller_id for r in begun if r], ["b", "c", "b"])

    def test_full_queue_refuses_the_caller_with_most_requests(self) -> None:
        """Guard against one caller that fills the queue at the cost of others."""
        heavy = [request(caller="b") for _ in range(3)]
        refused = self.fill(*heavy, request(caller="c"))
        self.assertEqual(refused, [("b", Reason.CALLER_LIMIT)])
        self.assertEqual(self.fill(request(caller="b")), [("b", Reason.QUEUE_FULL)])

    def test_booking_takes_the_place_of_a_search(self) -> None:
        """Guard against refusing bookings while searches wait."""
        self.admission.in_flight = 10
        self.fill(*(request(caller="s") for _ in range(3)))
        refused = self.fill(*(request(Priority.RUN, caller="r") for _ in range(3)))
        self.assertEqual(refused, [("s", Reason.QUEUE_FULL)] * 3)
        refused = self.fill(request(caller="s"))
        self.assertEqual(refused, [("s", Reason.QUEUE_FULL)])
        refused = self.fill(request(Priority.RUN, caller="r"))
        self.assertEqual(refused, [("r", Reason.QUEUE_FULL)])

    def test_booking_begins_while_searches_fill_the_limit(self) -> None:
        """Guard against slow searches that block a booking."""
        decision = self.admission.offer(request(Priority.RUN), 0.0)
        self.assertEqual(len(decision.admitted), 1)

    def test_past_deadline_is_refused(self) -> None:
        """Guard against starting work after its deadline."""
        decision = self.admission.offer(request(deadline_s=1.0), 1.0)
        self.assertEqual([t.reason for t in decision.refused], [Reason.DEADLINE])

    def test_waiting_request_that_cannot_finish_is_refused(self) -> None:
        """Guard against starting work that cannot finish in time."""
        self.admission.finish(self.first, 1.0, in_time=True)
        self.first = self.admission.offer(request(), 1.0).admitted[0]
        self.admission.offer(request(deadline_s=2.6), 1.0)
        self.assertEqual(self.admission.sweep(1.05).refused, [])
        refused = self.admission.sweep(1.2).refused
        self.assertEqual([t.reason for t in refused], [Reason.DEADLINE])

    def test_withdrawn_request_never_begins(self) -> None:
        """Guard against work for a caller that has disconnected."""
        waiting = request()
        self.admission.offer(waiting, 0.0)
        self.assertTrue(self.admission.withdraw(waiting))
        self.assertIsNone(self.finish())


@dataclass
class LoadSimulation:
    """Simulate requests to a queueing station with a fixed number of servers.

    The station models the upstreams: it serves requests in order of arrival
    and drops those past their deadline.
    """

    per_s: float
    servers: int = 10
    service_s: float = 0.02
    deadline_s: float = 0.4
    duration_s: float = 15.0
    warm_up_s: float = 5.0
    run_share: float = 0.1
    seed: int = 1
    admission: RootAdmission | None = None
    complete: int = 0
    started_late: int = 0
    refused: dict[Priority, int] = field(default_factory=dict)
    offered: dict[Priority, int] = field(default_factory=dict)
    _events: list[tuple[float, int, str, object]] = field(default_factory=list)
    _number: int = 0
    _free: int = 0
    _upstream_queue: list[tuple[AdmittedRequest | None, AdmissionRequest]] = field(
        default_factory=list
    )

    def run(self) -> LoadSimulation:
        draw = random.Random(self.seed)
        self._draw = draw
        self._free = self.servers
        at_s = 0.0
        while at_s < self.duration_s:
            at_s += draw.expovariate(self.per_s)
            self._push(at_s, "arrive", None)
        sweep = 0.0
        while self.admission is not None and sweep < self.duration_s:
            sweep += 0.01
            self._push(sweep, "sweep", None)
        while self._events:
            now_s, _, kind, item = heapq.heappop(self._events)
            getattr(self, "_" + kind)(now_s, item)
        return self

    def _push(self, at_s: float, kind: str, item: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, kind, item))

    def _arrive(self, now_s: float, item: object) -> None:
        is_run = self._draw.random() < self.run_share
        priority = Priority.RUN if is_run else Priority.SEARCH
        caller = f"caller-{self._draw.randrange(5)}"
        arrived = request(priority, caller, now_s + self.deadline_s)
        self._count(self.offered, arrived, now_s)
        if self.admission is None:
            self._upstream_queue.append((None, arrived))
            self._serve(now_s)
            return
        self._apply(self.admission.offer(arrived, now_s), now_s)

    def _sweep(self, now_s: float, item: object) -> None:
        assert self.admission is not None
        self._apply(self.admission.sweep(now_s), now_s)

    def _apply(self, decision: AdmissionDecision, now_s: float) -> None:
        for refused_request in decision.refused:
            self._count(self.refused, refused_request.request, now_s)
        for admitted in decision.admitted:
            self.started_late += now_s >= admitted.request.deadline_s
            self._upstream_queue.append((admitted, admitted.request))
        self._serve(now_s)

    def _serve(self, now_s: float) -> None:
        while self._free and self._upstream_queue:
            entry = self._upstream_queue.pop(0)
            if entry[1].deadline_s <= now_s:
                self._done(now_s, entry)
                continue
            self._free -= 1
            took_s = self.service_s * self._draw.lognormvariate(-0.045, 0.3)
            self._push(now_s + took_s, "end", entry)

    def _end(self, now_s: float, entry: tuple) -> None:
        self._free += 1
        self._done(now_s, entry)
        self._serve(now_s)

    def _done(self, now_s: float, entry: tuple) -> None:
        admitted, ended = entry
        in_time = now_s < ended.deadline_s
        if in_time and self.warm_up_s <= now_s < self.duration_s:
            self.complete += 1
        if admitted is not None:
            assert self.admission is not None
            decision = self.admission.finish(admitted, now_s, in_time=in_time)
            self._apply(decision, now_s)

    def _count(
        self, counts: dict[Priority, int], item: AdmissionRequest, now_s: float
    ) -> None:
        if now_s >= self.warm_up_s:
            counts[item.priority] = counts.get(item.priority, 0) + 1


def simulate_overload(factor: float, **options: float) -> LoadSimulation:
    """Simulate a load of this multiple of the capacity, with admission control."""
    admission = RootAdmission(in_flight_max=256, queue_max=512)
    load = LoadSimulation(per_s=500.0 * factor, admission=admission, **options)
    return load.run()


class OverloadTest(unittest.TestCase):
    """Check throughput at loads above the capacity of the upstreams."""

    def test_twice_the_capacity_keeps_complete_answers(self) -> None:
        """Guard against late answers that consume the capacity."""
        for deadline_s in (0.1, 0.4, 1.0):
            with self.subTest(deadline_s=deadline_s):
                at_capacity = simulate_overload(1.0, deadline_s=deadline_s)
                twice = simulate_overload(2.0, deadline_s=deadline_s)
                self.assertGreaterEqual(twice.complete, 0.9 * at_capacity.complete)
                self.assertEqual(twice.started_late, 0)

    def test_bookings_are_refused_last(self) -> None:
        """Guard against refusing bookings while searches run."""
        twice = simulate_overload(2.0)
        self.assertEqual(twice.refused.get(Priority.RUN, 0), 0)
        self.assertGreater(twice.refused[Priority.SEARCH], 0)

    def test_bookings_run_when_deadlines_are_short(self) -> None:
        """Guard against an estimate above the deadline that never decreases."""
        short = simulate_overload(1.0, deadline_s=0.1)
        refused = short.refused.get(Priority.RUN, 0)
        self.assertLess(refused, 0.01 * short.offered[Priority.RUN])

    def test_without_admission_the_load_collapses(self) -> None:
        """Guard against a load that does not need admission control."""
        plain = LoadSimulation(per_s=1000.0).run()
        self.assertLess(plain.complete, 0.9 * simulate_overload(1.0).complete)
