"""Admission control for callers' requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.reason import Reason
from gypsumvane_core.root_admission import RootAdmission
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.admission_request import AdmissionRequest
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import FleetDocument
    from gypsumvane_core.root_admission import AdmissionDecision
    from gypsumvane_core.root_admission import AdmittedRequest
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.upstream_ports import DocumentSource

# Key of the admission shared by all indexes without limits of their own.
SHARED_ADMISSION = ""
INDEX_SCOPE = "index:"
LIMIT_KEYS = frozenset({"root_in_flight_max", "root_queue_max"})
# Interval at which queued requests are checked against their deadlines.
SWEEP_INTERVAL_S = 0.01


REFUSAL_MESSAGES = {
    Reason.QUEUE_FULL: "too many requests are waiting at this daemon",
    Reason.CALLER_LIMIT: "too many requests of this caller are waiting at this daemon",
    Reason.DEADLINE: "the request cannot be answered before its deadline",
}


class AdmissionRefused(Exception):  # noqa: N818
    """Signal that admission refused a request; no part of it ran."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.message = REFUSAL_MESSAGES.get(reason, "the request was not admitted")


class Permit:
    """Count one admitted request as in flight until it ends."""

    def __init__(
        self,
        service: AdmissionService,
        admission: RootAdmission,
        admitted: AdmittedRequest,
    ) -> None:
        self._service = service
        self._admission = admission
        self._admitted: AdmittedRequest | None = admitted

    def finish(self, in_time: bool) -> None:
        """End the request and report whether its complete answer was in time.

        Only the first call of ``finish`` or ``abandon`` has an effect.
        """
        admitted = self._admitted
        if admitted is not None:
            self._admitted = None
            self._service.on_finish(self._admission, admitted, in_time=in_time)

    def abandon(self) -> None:
        """End the request without adjusting the limit.

        Used when the latency says nothing about the load, for example because
        the caller has disconnected.
        """
        if self._admitted is not None:
            self._admitted = None
            self._service.on_abandon(self._admission)


class AdmissionService(Service):
    """Admit callers' requests within an adaptive in-flight limit."""

    name = "admission"

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._futures: dict[AdmissionRequest, asyncio.Future[Permit]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._metrics: MetricsService
        self._documents: DocumentSource
        # By name of each index with limits of its own, plus SHARED_ADMISSION.
        self._admissions: dict[str, RootAdmission] = {}

    async def start(self, kernel: Kernel) -> None:
        """Configure the limits and subscribe to document changes."""
        self._metrics = kernel.get(MetricsService)
        self._documents = cast("DocumentSource", kernel.find("documents"))
        self._configure()
        self._documents.on_change(lambda name: self._configure())
        metrics = self._metrics
        metrics.gauge("root_in_flight", self._sum(lambda a: a.in_flight))
        metrics.gauge("root_waiting", self._sum(lambda a: a.waiting))
        metrics.gauge(
            "root_in_flight_limit", self._sum(lambda a: a.in_flight_limit.limit)
        )

    async def stop(self) -> None:
        """Cancel the deadline sweep."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    async def admit(self, request: AdmissionRequest) -> Permit:
        """Wait until the request may run and return its permit.

        Raises AdmissionRefused if the request is refused; no part of it ran then.
        """
        future: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self._futures[request] = future
        shared = self._admissions[SHARED_ADMISSION]
        admission = self._admissions.get(request.index, shared)
        now_s = self._clock.monotonic_s()
        self._apply(admission, admission.offer(request, now_s))
        if not future.done():
            self._schedule_sweep()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(request, future)
            raise

    def on_finish(
        self, admission: RootAdmission, admitted: AdmittedRequest, *, in_time: bool
    ) -> None:
        """Release the permit of a request and adjust the in-flight limit."""
        now_s = self._clock.monotonic_s()
        self._apply(admission, admission.finish(admitted, now_s, in_time=in_time))

    def on_abandon(self, admission: RootAdmission) -> None:
        """Release the permit of a request without adjusting the limit."""
        self._apply(admission, admission.abandon(self._clock.monotonic_s()))

    def _sum(self, read: Callable[[RootAdmission], int]) -> Callable[[], float]:
        return lambda: sum(map(read, self._admissions.values()))

    def _withdraw(
        self, request: AdmissionRequest, future: asyncio.Future[Permit]
    ) -> None:
        if self._futures.pop(request, None) is not None:
            # A document change may have moved the request to another queue.
            for admission in self._admissions.values():
                admission.withdraw(request)
        elif future.done() and not future.cancelled() and not future.exception():
            # Admitted in the same event loop iteration in which the caller left.
            future.result().abandon()

    def _apply(self, admission: RootAdmission, step: AdmissionDecision) -> None:
        for refusal in step.refused:
            self._metrics.count("admission_refusals", reason=refusal.reason.value)
            future = self._futures.pop(refusal.request)
            if not future.done():
                future.set_exception(AdmissionRefused(refusal.reason))
        for admitted in step.admitted:
            future = self._futures.pop(admitted.request)
            permit = Permit(self, admission, admitted)
            if future.done():
                permit.abandon()
            else:
                future.set_result(permit)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        now_s = self._clock.monotonic_s()
        for admission in list(self._admissions.values()):
            self._apply(admission, admission.sweep(now_s))
        if any(admission.waiting for admission in self._admissions.values()):
            self._schedule_sweep()

    def _configure(self) -> None:
        fleet = self._documents.catalogue.fleet()
        policies = {
            name: fleet.policy(index=name) for name in _indexes_with_own_limits(fleet)
        }
        policies[SHARED_ADMISSION] = fleet.defaults
        for name, policy in policies.items():
            bounds = {
                "in_flight_max": policy.root_in_flight_max,
                "queue_max": policy.root_queue_max,
            }
            admission = self._admissions.get(name)
            if admission is None:
                self._admissions[name] = RootAdmission(**bounds)
            else:
                admission.configure(**bounds)
        for name in self._admissions.keys() - policies.keys():
            self._move_to_shared(name)

    def _move_to_shared(self, name: str) -> None:
        """Remove an index's admission and requeue its requests in the shared one."""
        retired = self._admissions.pop(name)
        shared = self._admissions[SHARED_ADMISSION]
        now_s = self._clock.monotonic_s()
        for request in retired.pop_all_waiting():
            self._apply(shared, shared.offer(request, now_s))
        if shared.waiting:
            self._schedule_sweep()


def _indexes_with_own_limits(fleet: FleetDocument) -> set[str]:
    """Return the indexes whose policy exceptions set admission limits."""
    return {
        exception.scope.removeprefix(INDEX_SCOPE)
        for exception in fleet.exceptions
        if exception.scope.startswith(INDEX_SCOPE)
        and not LIMIT_KEYS.isdisjoint(exception.values)
    }
