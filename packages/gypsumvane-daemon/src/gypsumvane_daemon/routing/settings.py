"""Settings of a routing daemon."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.routing.cold_start import ColdStartBound

if TYPE_CHECKING:
    from gypsumvane_core.routing.retry_budget import RetryAllowance
    from gypsumvane_core.routing.version_move import CanaryBound


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Hold the addresses, location and limits of one daemon."""

    daemon_name: str
    ip: str
    failure_domain: str
    region_of_domain: dict[str, str]
    # Each address is HOST:PORT.
    entry_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    metrics_address: str
    # Addresses of peers for the first pings; some may be stale.
    seed_addresses: tuple[str, ...]
    store_address: str
    retry_allowance: RetryAllowance
    # Bound of the requests that a bad version may get.
    canary_bound: CanaryBound
    # Time in which a configuration has to be in force.
    config_apply_s: float
    # Time for which a leaf that drains still serves.
    drain_s: float
    # Time in which an evacuated failure domain gets no more requests.
    evacuate_s: float
    # Time between SIGTERM and SIGKILL.
    stop_grace_s: float
    # CPU capacity of the VM in cores.
    capacity_cores: float = 1.0
    # Memory of the process in MiB, and the descriptors that it may open.
    memory_mb: int = 300
    descriptors_max: int = 4100
    # Whether the whole system is started for the first time.
    first_start: bool = False
    cold_start_bound: ColdStartBound = field(default_factory=ColdStartBound)

    @property
    def news_bound_s(self) -> float:
        """Return the time in which changes in the store have to be in force."""
        return min(self.config_apply_s, self.drain_s, self.evacuate_s)
