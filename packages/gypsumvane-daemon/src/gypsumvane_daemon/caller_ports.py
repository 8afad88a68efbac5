"""What the callers' listener needs from other services."""

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
    """Stand for an admitted request."""

    def finish(self, in_time: bool) -> None:
        """Free the place of the request."""

    def abandon(self) -> None:
        """Free the place of a request whose caller has left."""


class AdmissionPort(Protocol):
    """Admit requests; see AdmissionService."""

    async def admit(self, request: AdmissionRequest) -> PermitPort:
        """Wait for a place; raises AdmissionRefused with a reason."""


class GatewayPort(Protocol):
    """Search and look up; see GatewayService."""

    def policy(self, index: str) -> Policy:
        """Return the policy in force for an index."""

    def service_of(self, index: str, key: str) -> str:
        """Return the service of a key, empty without a partition map."""

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Search all services of an index."""

    async def lookup(self, request: LookupRequest) -> LookupAnswer:
        """Look a key up in its service."""


class BookingsPort(Protocol):
    """Run non-idempotent requests; see BookingService."""

    async def run(self, request: BookingRequest) -> Outcome:
        """Run a request at most once."""

    async def refuse(self, request: BookingRequest, reason: Reason) -> Outcome:
        """Answer truthfully for a request that is not run."""

    def reserve(self, count: int) -> list[str]:
        """Return keys that this daemon reserves."""


class StatePort(Protocol):
    """Name a state; see LifeState."""

    @property
    def value(self) -> str:
        """Return the name."""


class LifecyclePort(Protocol):
    """Know the life cycle of the daemon; see LifecycleService."""

    @property
    def state(self) -> StatePort:
        """Return the state."""

    @property
    def serving(self) -> bool:
        """Return whether callers may send requests."""

    def add_idle_check(self, check: Callable[[], bool]) -> None:
        """Ask the check before the end whether no work is in progress."""


class EntryAddressesPort(Protocol):
    """Hold the addresses that callers may use; see EntryAddresses."""

    @property
    def addresses(self) -> Sequence[str]:
        """Return the addresses, best first."""

    @property
    def keep_s(self) -> float:
        """Return how long a caller may keep the list."""


class EntryPort(Protocol):
    """Tell the entry addresses; see MembershipService."""

    def entry_addresses(self, failure_domain: str) -> EntryAddressesPort:
        """Return the entry addresses for a caller's failure domain."""
