"""What a daemon knows of configuration and leaves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gypsumvane_core.routing.leaf_registry import LeafRegistry
from gypsumvane_core.routing.route_table import RouteTable

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import RoutingConfig

ConfigListener = Callable[["RoutingConfig"], None]


class RoutingState:
    """Hold the applied configuration and the registry of leaves."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.registry = LeafRegistry()
        self.leaves_known = False
        self.domains_known = False
        # Set at SIGTERM: callers are sent elsewhere, open requests end.
        self.stopping = False
        # Returns the time since the store confirmed what is known of leaves.
        self.confirmed_age_s: Callable[[], float] = lambda: 0.0
        self._listeners: list[ConfigListener] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return 0 if self.table is None else self.table.config.version

    @property
    def can_route(self) -> bool:
        """Return whether requests can be routed."""
        return self.table is not None and self.leaves_known and self.domains_known

    @property
    def serving(self) -> bool:
        """Return whether callers are to come here."""
        return self.can_route and not self.stopping

    def on_config(self, listener: ConfigListener) -> None:
        """Call a listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def apply(self, config: RoutingConfig) -> bool:
        """Bring a newer configuration into force; an older one is ignored."""
        if config.version <= self.version:
            return False
        self.table = RouteTable(config)
        for listener in self._listeners:
            listener(config)
        return True
