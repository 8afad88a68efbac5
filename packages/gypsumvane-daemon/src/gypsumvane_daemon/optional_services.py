"""What this package's own listeners use of services written apart.

The kernel finds a service by name; these protocols state the methods that
the caller needs, so that a daemon runs without the services it lacks.
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
    """Return a service by name, None when this daemon runs none."""
    try:
        return kernel.find(name)
    except LookupError:
        return None


class HeartbeatContributor(Protocol):
    """Fill and read fields of heartbeats."""

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill the fields of a heartbeat to a VM."""

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Read the fields of a heartbeat from a VM."""


class ViewPort(Protocol):
    """Hold one epoch of the membership."""

    @property
    def epoch(self) -> int:
        """Return the number of the view."""

    @property
    def members(self) -> Sequence[Member]:
        """Return all members."""


class MembershipPort(Protocol):
    """Tell members, homes and authority."""

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
        """Return the part of a limit that this daemon may use."""

    def add_contributor(self, contributor: HeartbeatContributor) -> None:
        """Add a contributor to heartbeats."""


class BriefsPort(Protocol):
    """Hold the newest brief of every leaf."""

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        """Return the newest brief of a leaf."""


class UpstreamsPort(Protocol):
    """Tell the state of leaves."""

    @property
    def briefs(self) -> BriefsPort:
        """Return the board of briefs."""


class LifecyclePort(Protocol):
    """Tell the life-cycle state of the daemon."""

    @property
    def state(self) -> Any:
        """Return the state."""

    @property
    def serving(self) -> bool:
        """Return whether callers are served."""


class MovesPort(Protocol):
    """Tell the state of version moves."""

    def status(self, index: str) -> MoveStatus | None:
        """Return the newest move of an index."""
