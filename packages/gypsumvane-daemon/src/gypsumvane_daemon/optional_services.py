"""Lookup and protocols of services that a daemon may run without.

The kernel finds a service by name. Each protocol declares only the methods
that the operator API and the document service call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import Member
    from gypsumvane_core.messages import UpstreamBrief
    from gypsumvane_core.move_status import MoveStatus
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.kernel import Service


def find_optional(kernel: Kernel, name: str) -> Service | None:
    """Return the service with this name, None when none is registered."""
    try:
        return kernel.find(name)
    except LookupError:
        return None


class HeartbeatContributor(Protocol):
    """Service with its own fields in heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill the fields of a heartbeat to a VM."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read the fields of a heartbeat from a VM."""


class ViewPort(Protocol):
    """Membership at one epoch."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the view."""

    @property
    def members(self) -> Sequence[Member]:
        """Return all members of the view."""


class MembershipPort(Protocol):
    """Members, homes of leaves and the authority of this daemon."""

    @property
    def view(self) -> ViewPort | None:
        """Return the current view, None without one."""

    def live_members(self) -> list[Member]:
        """Return the members that are not gone."""

    def is_leaving(self, vm_id: str) -> bool:
        """Return whether a member is leaving."""

    def home_of(self, leaf_id: str) -> str | None:
        """Return the home of a leaf."""

    def grade(self, leaf_id: str) -> Any:
        """Return the authority of this daemon for a leaf."""

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the share of a leaf's limit that this daemon may use."""

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Register a contributor to heartbeats."""


class BriefsPort(Protocol):
    """Newest brief of every leaf."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf, None without one."""


class UpstreamsPort(Protocol):
    """State of the leaves."""

    @property
    def briefs(self) -> BriefsPort:
        """Return the newest briefs."""


class LifecyclePort(Protocol):
    """Life-cycle state of the daemon."""

    @property
    def state(self) -> Any:
        """Return the life-cycle state."""

    @property
    def serving(self) -> bool:
        """Return whether requests of callers are accepted."""


class MovesPort(Protocol):
    """State of the version moves."""

    def status(self, index: str) -> MoveStatus | None:
        """Return the status of the newest move of an index, None without one."""
