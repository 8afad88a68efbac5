"""Guard for the listeners of stand-ins, which serve known clients only."""

from __future__ import annotations

from gypsumvane_core.client_budget import ClientLimits
from gypsumvane_daemon.client_guard import ClientGuard


def unlimited_guard() -> ClientGuard:
    """Return a guard that never ends a connection for lack of room."""
    limits = ClientLimits(memory_bytes=2**40, connections_max=2**20)
    return ClientGuard(limits, lambda ended: None)
