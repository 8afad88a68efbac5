"""Interfaces of other services that the caller API depends on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from gypsumvane_core.admission_request import AdmissionRequest
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.messages import BookingRequest
    from gypsumvane_core.outcome import Outcome
    from gypsumvane_core.query_answer import LookupAnswer
    from gypsumvane_core.query_answer import SearchAnswer
    from gypsumvane_core.query_request import LookupRequest
    from gypsumvane_core.query_request import SearchRequest
    from gypsumvane_core.reason import Reason


class PermitPort(Protocol):
    """Count an admitted request as in flight; see Permit."""

    def finish(self, in_time: bool) -> None:
        """End the request and report whether its complete answer was in time."""

    def abandon(self) -> None:
        """End the request without adjusting the limit."""


class AdmissionPort(Protocol):
    """Admit requests; see AdmissionService."""

    async def admit(self, request: AdmissionRequest) -> PermitPort:
        """Wait until the request may run; raises AdmissionRefused."""


class GatewayPort(Protocol):
    """Run searches and lookups; see GatewayService."""

    def policy(self, index: str) -> Policy:
        """Return the policy in force for an index."""

    def service_of(self, index: str, key: str) -> str:
        """Return the service that holds a key, empty without a partition map."""

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Search all services of an index."""

    async def lookup(self, request: LookupRequest) -> LookupAnswer:
        """Look a key up in the service that holds it."""


class BookingsPort(Protocol):
    """Run non-idempotent requests; see BookingService."""

    async def run(self, request: BookingRequest) -> Outcome:
        """Run a request at most once."""

    async def refuse(self, request: BookingRequest, reason: Reason) -> Outcome:
        """Return the outcome of a refused request, including earlier attempts."""

    def reserve(self, count: int) -> list[str]:
        """Issue reserved idempotency keys of this daemon."""


class StatePort(Protocol):
    """Name a life cycle state; see LifeState."""

    @property
    def value(self) -> str:
        """Return the name of the state."""


class LifecyclePort(Protocol):
    """Report the life cycle state of the daemon; see LifecycleService."""

    @property
    def state(self) -> StatePort:
        """Return the current state."""

    @property
    def serving(self) -> bool:
        """Return whether callers may send requests."""

    def add_idle_check(self, check: Callable[[], bool]) -> None:
        """Register a check that returns whether no work is in progress.

        The daemon consults it before it stops.
        """


class EntryAddressesPort(Protocol):
    """List the addresses that callers may use; see EntryAddresses."""

    @property
    def addresses(self) -> Sequence[str]:
        """Return the addresses, best first."""

    @property
    def keep_s(self) -> float:
        """Return how long a caller may cache the list, in seconds."""


class EntryPort(Protocol):
    """Provide the entry addresses; see MembershipService."""

    def entry_addresses(self, failure_domain: str) -> EntryAddressesPort:
        """Return the entry addresses for callers in a failure domain."""
