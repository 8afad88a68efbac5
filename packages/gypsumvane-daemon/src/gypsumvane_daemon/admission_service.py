"""Admission of callers' requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.root_admission import Admitted
from gypsumvane_core.root_admission import RootAdmission
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService

if TYPE_CHECKING:
    from gypsumvane_core.admission_request import AdmissionRequest
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.reason import Reason
    from gypsumvane_core.root_admission import AdmissionStep
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.upstream_ports import DocumentSource

# Waiting requests are checked against their deadlines this often.
SWEEP_INTERVAL_S = 0.01


class AdmissionRefused(Exception):  # noqa: N818
    """Report a request that is refused before anything ran."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Ticket:
    """Allow one request to run until it is finished."""

    def __init__(self, service: AdmissionService, admitted: Admitted) -> None:
        self._service = service
        self._admitted: Admitted | None = admitted

    def finish(self, in_time: bool) -> None:
        """Report whether the complete answer was delivered in time.

        Calls after the first one change nothing.
        """
        admitted = self._admitted
        if admitted is not None:
            self._admitted = None
            self._service.on_finish(admitted, in_time=in_time)


class AdmissionService(Service):
    """Admit callers' requests within an adaptive limit."""

    name = "admission"

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._futures: dict[AdmissionRequest, asyncio.Future[Ticket]] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._metrics: MetricsService
        self._documents: DocumentSource
        self._admission: RootAdmission

    async def start(self, kernel: Kernel) -> None:
        """Take over the bounds and follow their changes."""
        self._metrics = kernel.get(MetricsService)
        self._documents = cast("DocumentSource", kernel.find("documents"))
        policy = self._documents.catalogue.fleet().defaults
        self._admission = RootAdmission(
            in_flight_max=policy.root_in_flight_max, queue_max=policy.root_queue_max
        )
        self._documents.on_change(lambda name: self._configure())
        self._metrics.gauge("root_in_flight", lambda: self._admission.in_flight)
        self._metrics.gauge("root_waiting", lambda: self._admission.waiting)
        self._metrics.gauge(
            "root_in_flight_limit", lambda: self._admission.in_flight_limit.limit
        )

    async def stop(self) -> None:
        """Stop checking deadlines."""
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def admit(self, request: AdmissionRequest) -> Ticket:
        """Wait until the request may run.

        Raises AdmissionRefused; nothing was run then.
        """
        future: asyncio.Future[Ticket] = asyncio.get_running_loop().create_future()
        self._futures[request] = future
        self._apply(self._admission.offer(request, self._clock.monotonic_s()))
        if not future.done():
            self._sweep_later()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(request, future)
            raise

    def on_finish(self, admitted: Admitted, *, in_time: bool) -> None:
        """Take back a ticket."""
        now_s = self._clock.monotonic_s()
        self._apply(self._admission.finish(admitted, now_s, in_time=in_time))

    def _withdraw(
        self, request: AdmissionRequest, future: asyncio.Future[Ticket]
    ) -> None:
        if self._futures.pop(request, None) is not None:
            self._admission.withdraw(request)
        elif future.done() and not future.cancelled() and not future.exception():
            # Admitted in the same turn in which the caller left.
            future.result().finish(in_time=False)

    def _apply(self, step: AdmissionStep) -> None:
        for turned in step.refused:
            self._metrics.count("admission_refusals", reason=turned.reason.value)
            future = self._futures.pop(turned.request)
            if not future.done():
                future.set_exception(AdmissionRefused(turned.reason))
        for admitted in step.admitted:
            future = self._futures.pop(admitted.request)
            ticket = Ticket(self, admitted)
            if future.done():
                ticket.finish(in_time=False)
            else:
                future.set_result(ticket)

    def _sweep_later(self) -> None:
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweeper = None
        self._apply(self._admission.sweep(self._clock.monotonic_s()))
        if self._admission.waiting:
            self._sweep_later()

    def _configure(self) -> None:
        policy = self._documents.catalogue.fleet().defaults
        self._admission.configure(
            in_flight_max=policy.root_in_flight_max, queue_max=policy.root_queue_max
        )
