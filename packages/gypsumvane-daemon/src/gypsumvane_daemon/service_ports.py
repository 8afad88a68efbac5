"""Protocols of the services that bookings and version moves depend on.

The kernel finds a service by name; a protocol declares the methods it must have.
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
    """Read and write access to the object store."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, None when it does not exist; raises StoreError."""

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write if the stored version is the expected one; raises StoreError."""


class HeartbeatContributor(Protocol):
    """Service with its own fields in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill the fields of a heartbeat to a peer."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read the fields of a heartbeat from a peer."""


class MembershipPort(Protocol):
    """Members and homes of leaves and keys."""

    def live_members(self) -> list[Member]:
        """Return the members of the view that are not gone."""

    def member(self, vm_id: str) -> Member | None:
        """Return the live member on a VM, None without one."""

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a daemon process is known to have ended."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""

    def home_of_key(self, key: str) -> str | None:
        """Return the VM that is home of a key."""

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Register a contributor to heartbeats."""

    def heartbeat_now(self) -> None:
        """Send the next heartbeat to each peer without waiting for the interval."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener, called after each change of members or homes."""


class DocumentsPort(Protocol):
    """Applied configuration documents and their changes."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the documents in force on this daemon."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Register a listener, called with the name of each applied document."""

    async def submit(self, change: DocumentChange) -> ChangeOutcome:
        """Write a change of a document to the store."""


class BriefSource(Protocol):
    """Newest brief of each leaf."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf, None without one."""


class UpstreamsPort(Protocol):
    """Execution of requests at the leaves that this daemon is home of."""

    @property
    def briefs(self) -> BriefSource:
        """Return the newest briefs."""

    async def run_once(self, request: LeafRunRequest) -> LeafRunReply:
        """Run a non-idempotent request at a leaf."""


class MovesPort(Protocol):
    """Choice of versions and collection of evidence."""

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        """Return the version for a request and the old version as its alternative."""

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Record one answer as evidence for its version."""
