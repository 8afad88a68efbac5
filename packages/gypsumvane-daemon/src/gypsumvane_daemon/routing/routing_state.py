"""State by which a daemon routes: the configuration and the leaves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gypsumvane_core.routing.leaf_registry import DRAIN_DEFAULT_S
from gypsumvane_core.routing.leaf_registry import LeafRegistry
from gypsumvane_core.routing.route_table import RouteTable

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import RoutingConfig
    from gypsumvane_core.routing.stop_schedule import StopSchedule

ConfigCallback = Callable[["RoutingConfig"], None]


class RoutingState:
    """Hold the configuration in force and the registry of leaves."""

    def __init__(self, drain_s: float = DRAIN_DEFAULT_S) -> None:
        self.table: RouteTable | None = None
        self.registry = LeafRegistry(drain_s)
        # Whether the leaves, the evacuated failure domains and the orders of version
        # moves were read once.
        self.leaves_known = False
        self.domains_known = False
        self.orders_known = False
        # Set by a planned stop, which lets open requests end.
        self.stop_schedule: StopSchedule | None = None
        # Return the time since the store last confirmed the objects of a kind.
        self.leaves_age_s: Callable[[], float] = lambda: 0.0
        self.config_age_s: Callable[[], float] = lambda: 0.0
        self.orders_age_s: Callable[[], float] = lambda: 0.0
        self._callbacks: list[ConfigCallback] = []

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return 0 if self.table is None else self.table.config.version

    @property
    def can_route(self) -> bool:
        """Return whether the daemon has read all it needs to route requests."""
        return (
            self.table is not None
            and self.leaves_known
            and self.domains_known
            and self.orders_known
        )

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.stop_schedule is not None

    @property
    def serving(self) -> bool:
        """Return whether callers may be given the address of this daemon."""
        return self.can_route and not self.stopping

    def ages_ms(self) -> dict[str, int]:
        """Return the ages of what requests are routed by, as fields of a log line."""
        return {
            "leaves_age_ms": round(self.leaves_age_s() * 1000),
            "config_age_ms": round(self.config_age_s() * 1000),
            "orders_age_ms": round(self.orders_age_s() * 1000),
        }

    def on_config(self, callback: ConfigCallback) -> None:
        """Call a function with each configuration that comes into force."""
        self._callbacks.append(callback)

    def apply(self, config: RoutingConfig) -> bool:
        """Bring a configuration into force and return whether it is newer."""
        if config.version <= self.version:
            return False
        self.table = RouteTable(config)
        for callback in self._callbacks:
            callback(config)
        return True
