"""Protocols of the services that the membership depends on."""

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
    """Service with its own fields in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill the fields of a heartbeat or reply to a VM."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read the fields of a heartbeat or reply from a VM."""


class StorePort(Protocol):
    """Object store access as implemented by StoreClient."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, None when it does not exist; raises StoreError."""

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write if the stored version is the expected one; raises StoreError."""

    def subscribe(
        self, prefix: str, listener: Callable[[str, bytes | None, int], None]
    ) -> None:
        """Register a listener for changes of objects below a prefix."""

    def on_confirmed(self, listener: Callable[[float], None]) -> None:
        """Register a listener, called after each list or watch response."""

    def set_watching(self, watching: bool) -> None:
        """Start or stop the watch."""


class DocumentPort(Protocol):
    """Applied documents as provided by DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the documents in force on this daemon."""

    @property
    def ready(self) -> bool:
        """Return whether documents were loaded from the store or a peer."""
