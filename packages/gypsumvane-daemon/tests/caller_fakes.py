"""Fakes of the services that the caller API depends on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from fake_service import FakeService
from gateway_fakes import FakeMembership
from gateway_fakes import GatewayFixture
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.admission_service import AdmissionRefused
from gypsumvane_daemon.caller_api import CallerApi

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.messages import BookingRequest
    from gypsumvane_core.outcome import Outcome
    from gypsumvane_core.reason import Reason


@dataclass
class FakeEntryAddresses:
    """List one address."""

    addresses: tuple[str, ...]
    keep_s: float = 10.0


class FakeEntryMembership(FakeMembership):
    """Membership that also lists entry addresses."""

    def entry_addresses(self, failure_domain: str) -> FakeEntryAddresses:
        return FakeEntryAddresses(addresses=(f"{failure_domain}:1",))


class FakeAdmission(FakeService):
    """Admit all requests unless a test sets a reason."""

    name = "admission"

    def __init__(self) -> None:
        self.reason: Reason | None = None
        self.finished: list[bool] = []
        self.abandoned = 0

    async def admit(self, request: object) -> FakePermit:
        if self.reason is not None:
            raise AdmissionRefused(self.reason)
        return FakePermit(self)


class FakePermit:
    """Record how the permit ended; only the first end counts."""

    def __init__(self, admission: FakeAdmission) -> None:
        self._admission = admission
        self._ended = False

    def finish(self, in_time: bool) -> None:
        if not self._ended:
            self._ended = True
            self._admission.finished.append(in_time)

    def abandon(self) -> None:
        if not self._ended:
            self._ended = True
            self._admission.abandoned += 1


class FakeState(Enum):
    """Provide the values of LifeState that the tests need."""

    SERVING = "serving"
    LEAVING = "leaving"


class FakeLifecycle(FakeService):
    """Serve unless a test changes the state."""

    name = "lifecycle"
    state = FakeState.SERVING
    serving = True

    def __init__(self) -> None:
        self.idle_checks: list[Callable[[], bool]] = []

    def add_idle_check(self, check: Callable[[], bool]) -> None:
        self.idle_checks.append(check)


class FakeBookings(FakeService):
    """Return the outcome that a test sets."""

    name = "bookings"

    def __init__(self) -> None:
        self.outcome: Outcome = Completed(status=200, body=b'{"booked": true}')
        self.requests: list[BookingRequest] = []
        self.delay_s = 0.0
        self.started = asyncio.Event()
        self.ended = asyncio.Event()

    async def run(self, request: BookingRequest) -> Outcome:
        self.requests.append(request)
        self.started.set()
        await asyncio.sleep(self.delay_s)
        self.ended.set()
        return self.outcome

    async def refuse(self, request: BookingRequest, reason: Reason) -> Outcome:
        return Failed(reason=reason, verdict=Verdict.MAY_HAVE_RUN)

    def reserve(self, count: int) -> list[str]:
        return [f"key-{number}" for number in range(count)]


class CallerFixture(GatewayFixture):
    """Set up a caller API on top of a gateway with fake services."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = FakeAdmission()
        self.lifecycle = FakeLifecycle()
        self.bookings = FakeBookings()
        self.api = CallerApi(self.identity, clock=self.clock)
        for service in (self.admission, self.lifecycle, self.bookings, self.api):
            self.kernel.register(service)

    def make_membership(self) -> FakeMembership:
        return FakeEntryMembership()

    def url(self, path: str) -> str:
        return f"http://{self.identity.caller_address}{path}"
