"""What the membership needs from other services."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_daemon.store_objects import PutResult
    from gypsumvane_daemon.store_objects import StoredObject


class HeartbeatContributor(Protocol):
    """Exchange fields of another service in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill fields of a heartbeat or reply to a VM."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read fields of a heartbeat or reply from a VM."""


class StorePort(Protocol):
    """Read, write and watch the object store; see StoreClient."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object, None when it does not exist."""

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write on a condition; raises StoreError."""

    def subscribe(
        self, prefix: str, listener: Callable[[str, bytes | None, int], None]
    ) -> None:
        """Send changed objects to the listener."""

    def on_confirmed(self, listener: Callable[[float], None]) -> None:
        """Call the listener after each read of the configuration."""

    def set_watching(self, watching: bool) -> None:
        """Begin or end the watch."""


class DocumentPort(Protocol):
    """Provide the applied documents; see DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the applied documents."""

    @property
    def ready(self) -> bool:
        """Return whether the documents are known."""
