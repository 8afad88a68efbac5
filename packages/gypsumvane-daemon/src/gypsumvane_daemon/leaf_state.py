"""What the parts of a leaf's worker know about the leaf."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.document_models import Policy
    from gypsumvane_core.upstream_trust import UpstreamTrust
    from gypsumvane_daemon.upstream_client import UpstreamClient


@dataclass(slots=True)
class LeafState:
    """Hold the topology, the trust and the facts learnt from answers."""

    leaf: LeafModel
    policy: Policy
    trust: UpstreamTrust
    client: UpstreamClient
    snapshots: list[int] = field(default_factory=list)
    version: str = ""
    # A connection has been used since the last loss of all of them.
    connected: bool = False
    # Nothing is sent before this time.
    hold_until_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class LeafContext:
    """Hold what the parts of a leaf's worker call."""

    clock: Clock
    count: Callable[..., None]
    # Sends waiting requests as far as the limits allow.
    dispatch: Callable[[], None]
    # Publishes a brief of the upstream.
    publish: Callable[[], None]
