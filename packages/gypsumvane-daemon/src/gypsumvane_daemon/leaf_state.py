"""State and callbacks shared by the components of a LeafWorker."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.upstream_limiter import UpstreamLimiter
    from gypsumvane_daemon.upstream_client import UpstreamClient


@dataclass(slots=True)
class LeafState:
    """Topology, policy and limiter of a leaf, and facts from its responses."""

    leaf: LeafModel
    policy: Policy
    limiter: UpstreamLimiter
    client: UpstreamClient
    snapshots: list[int] = field(default_factory=list)
    version: str = ""
    # Whether a connection has been used since all connections were last lost.
    connected: bool = False
    # Monotonic time before which nothing is sent, after a slow answer.
    hold_until_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class LeafContext:
    """Clock and callbacks for the components of a LeafWorker."""

    clock: Clock
    count: Callable[..., None]
    # Sends queued requests as far as the limits allow.
    dispatch: Callable[[], None]
    # Publishes the state summary (brief) of the upstream.
    publish: Callable[[], None]
