"""The parts of other services that bookings and version moves use."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Protocol

from gypsumvane_daemon.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import LeafRunReply
    from gypsumvane_core.messages import LeafRunRequest
    from gypsumvane_core.messages import Member
    from gypsumvane_core.messages import UpstreamBrief
    from gypsumvane_daemon.store_objects import PutResult
    from gypsumvane_daemon.store_objects import StoredObject


class ServicePort(Service):
    """Accept any service of the same name, so that the kernel finds it."""

    @classmethod
    def __subclasshook__(cls, subclass: type) -> bool:
        """Return whether a class has the name of this port."""
        return getattr(subclass, "name", None) == getattr(cls, "name", "")


class StorePort(ServicePort):
    """Read and write the object store."""

    name = "store"

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Read an object; raises StoreError."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one; raises StoreError."""


class Contributor(Protocol):
    """Fill and read the fields of one service in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill fields of a heartbeat to a peer."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read fields of a heartbeat from a peer."""


class MembershipPort(ServicePort):
    """Tell members and homes."""

    name = "membership"

    @abstractmethod
    def live_members(self) -> list[Member]:
        """Return the members of the view that are not gone."""

    @abstractmethod
    def member(self, vm_id: str) -> Member | None:
        """Return a member of the view."""

    @abstractmethod
    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""

    @abstractmethod
    def home_of_key(self, key: str) -> str | None:
        """Return the VM that is home of a key."""

    @abstractmethod
    def add_contributor(self, contributor: Contributor) -> None:
        """Add fields to heartbeats."""


class DocumentsPort(ServicePort):
    """Hold the applied configuration documents."""

    name = "documents"
    catalogue: DocumentCatalogue

    @abstractmethod
    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""


class BriefSource(Protocol):
    """Tell the newest brief of each leaf."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf."""


class UpstreamsPort(ServicePort):
    """Run requests at the leaves that this daemon is home of."""

    name = "upstreams"
    briefs: BriefSource

    @abstractmethod
    async def run_once(self, request: LeafRunRequest) -> LeafRunReply:
        """Run a non-idempotent request at a leaf."""
