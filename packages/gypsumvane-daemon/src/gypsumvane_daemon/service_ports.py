"""The parts of other services that bookings and version moves use.

The kernel finds a service by name; these protocols state what it must offer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.document_change import ChangeOutcome
    from gypsumvane_core.document_change import DocumentChange
    from gypsumvane_core.index_routes import MoveChoice
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import LeafRunReply
    from gypsumvane_core.messages import LeafRunRequest
    from gypsumvane_core.messages import Member
    from gypsumvane_core.messages import UpstreamBrief
    from gypsumvane_daemon.store_objects import PutResult
    from gypsumvane_daemon.store_objects import StoredObject


class StorePort(Protocol):
    """Read and write the object store."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object; raises StoreError."""

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one; raises StoreError."""


class HeartbeatContributor(Protocol):
    """Fill and read the fields of one service in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill fields of a heartbeat to a peer."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read fields of a heartbeat from a peer."""


class MembershipPort(Protocol):
    """Tell members and homes."""

    def live_members(self) -> list[Member]:
        """Return the members of the view that are not gone."""

    def member(self, vm_id: str) -> Member | None:
        """Return a member of the view."""

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a daemon process has certainly ended."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""

    def home_of_key(self, key: str) -> str | None:
        """Return the VM that is home of a key."""

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Add fields to heartbeats."""

    def heartbeat_now(self) -> None:
        """Send the next heartbeat to each peer at once."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of members or homes."""


class DocumentsPort(Protocol):
    """Hold the applied configuration documents."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the documents in force here."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""

    async def submit(self, change: DocumentChange) -> ChangeOutcome:
        """Change a document."""


class BriefSource(Protocol):
    """Tell the newest brief of each leaf."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf."""


class UpstreamsPort(Protocol):
    """Run requests at the leaves that this daemon is home of."""

    @property
    def briefs(self) -> BriefSource:
        """Return the newest briefs."""

    async def run_once(self, request: LeafRunRequest) -> LeafRunReply:
        """Run a non-idempotent request at a leaf."""


class MovesPort(Protocol):
    """Choose versions and collect evidence."""

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        """Return the version that a request uses and the old one beside it."""

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Record the evidence of one answer."""
