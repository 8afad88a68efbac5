"""Interfaces of other services that the root role depends on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.index_routes import MoveChoice
    from gypsumvane_core.messages import Message
    from gypsumvane_core.messages import PartialBatch
    from gypsumvane_core.messages import PartialRequest
    from gypsumvane_core.messages import PartialResult
    from gypsumvane_core.messages import UpstreamBrief


class PeersPort(Protocol):
    """Send messages to other daemons; see PeerNetwork."""

    def stream(self, vm_id: str, message: Message) -> AsyncIterator[Any]:
        """Send a request and iterate over its replies; raises PeerError."""

    def notify(self, vm_id: str, message: Message) -> None:
        """Send a message without a reply; raises PeerError."""


class HomesPort(Protocol):
    """Look up the home of a leaf; see MembershipService."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM of a leaf's home, None if it has none."""


class DocumentsPort(Protocol):
    """Provide the applied documents; see DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the applied documents."""

    @property
    def ready(self) -> bool:
        """Return whether the documents have been loaded."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""


class BriefsPort(Protocol):
    """Store the newest brief of each leaf; see BriefCache."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf, None if there is none."""

    def update(self, brief: UpstreamBrief) -> bool:
        """Store a brief and return whether it was newer."""


class UpstreamsPort(Protocol):
    """Send requests to the leaves of this home; see UpstreamService."""

    @property
    def briefs(self) -> BriefsPort:
        """Return the store of upstream briefs."""

    async def run_partial(
        self, batch: PartialBatch, request: PartialRequest
    ) -> PartialResult:
        """Run one partial request at a leaf of this home."""

    def cancel(self, query_id: str, attempt_ids: list[int]) -> None:
        """Cancel attempts of a query at leaves of this home."""


class MovesPort(Protocol):
    """Choose upstream versions and collect evidence; see MoveService."""

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        """Return the version for a request and the old one of a version move.

        ``draw`` is a uniform random number from 0 to 1.
        """

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Record the result of one attempt as evidence about its version."""
