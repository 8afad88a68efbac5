"""What the home role needs from other services."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.messages import Heartbeat


class Contributor(Protocol):
    """Fill and read the fields of one service in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill fields of a heartbeat to a peer."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read fields of a heartbeat from a peer."""


class HomeAuthority(Protocol):
    """Tell which upstreams this daemon may send to; see MembershipService."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf."""

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the part of a limit that this daemon may use now."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of assignment."""

    def set_release_check(self, check: Callable[[str], bool]) -> None:
        """Ask the check whether no call to a leaf is in progress."""

    def add_contributor(self, contributor: Contributor) -> None:
        """Let a service fill and read fields of heartbeats."""


class DocumentSource(Protocol):
    """Provide the applied documents; see DocumentService."""

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the applied documents."""

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the name of each changed document."""
