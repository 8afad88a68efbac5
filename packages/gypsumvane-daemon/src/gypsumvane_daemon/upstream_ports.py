"""Interfaces of other services that the home role depends on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.messages import Heartbeat


class Contributor(Protocol):
    """Exchange one service's fields with peers through heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Add fields to a heartbeat to a peer."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read fields of a heartbeat from a peer."""


class HomeAuthority(Protocol):
    """Decide which upstreams this daemon may send to; see MembershipService."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM of a leaf's home, None if it has none."""

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return how much of a limit this daemon may use now."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of assignment."""

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        """Register the check that returns whether a leaf has no call in progress."""

    def add_contributor(self, contributor: Contributor) -> None:
        """Register a service that exchanges data through heartbeats."""


class DocumentSource(Protocol):
    """Provide the applied documents; see DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the applied documents."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""
