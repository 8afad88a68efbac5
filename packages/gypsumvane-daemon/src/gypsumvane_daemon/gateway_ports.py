"""What the root role needs from other services."""

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
    """Reach the other daemons; see PeerNetwork."""

    def stream(self, vm_id: str, message: Message) -> AsyncIterator[Any]:
        """Send a request and iterate over its replies; raises PeerError."""

    def notify(self, vm_id: str, message: Message) -> None:
        """Send a message without a reply; raises PeerError."""


class HomesPort(Protocol):
    """Tell the home of a leaf; see MembershipService."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""


class DocumentsPort(Protocol):
    """Provide the applied documents; see DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the applied documents."""

    @property
    def ready(self) -> bool:
        """Return whether the documents were loaded."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""


class BriefsPort(Protocol):
    """Know the newest brief of each leaf; see BriefBoard."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf."""

    def take(self, brief: UpstreamBrief) -> bool:
        """Take over a brief and return whether it was newer."""


class UpstreamsPort(Protocol):
    """Ask the leaves whose home is this daemon; see UpstreamService."""

    @property
    def briefs(self) -> BriefsPort:
        """Return the board of briefs."""

    async def run_partial(
        self, batch: PartialBatch, request: PartialRequest
    ) -> PartialResult:
        """Ask one leaf."""

    def cancel(self, query_id: str, attempt_ids: list[int]) -> None:
        """Cancel attempts of a query."""


class MovesPort(Protocol):
    """Choose versions and collect evidence; see MoveService."""

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        """Return the version that a request uses and the old one beside it."""

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Record the evidence of one answer."""
