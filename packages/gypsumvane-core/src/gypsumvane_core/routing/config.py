"""Data model of a routing configuration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.routing.part_merge import RECORD_BYTES

# Largest body of a leaf's answer to a request that is not gathered.
PLAIN_ANSWER_BYTES_MAX = 2 * 2**20
# Largest body of a part: this many times the records of the merged answer, which a
# leaf may exceed, but at least PART_BYTES_FLOOR.
PART_RECORDS_FACTOR = 64
PART_BYTES_FLOOR = 65_536


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its share of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class GatherPlan:
    """Describe a request that is sent to several services and merged."""

    services: tuple[str, ...]
    records_max: int
    # Least share of the services that must answer for the request to succeed.
    min_share: float

    @property
    def part_bytes_max(self) -> int:
        """Return the largest body of one service's part."""
        records_bytes = self.records_max * RECORD_BYTES
        return max(PART_BYTES_FLOOR, PART_RECORDS_FACTOR * records_bytes)


@dataclass(frozen=True, slots=True)
class Route:
    """Define how requests below a path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: int
    # Latency objective, after which an answer is of no use to the caller; 0 if unset.
    latency_objective_ms: int = 0
    # Most leaves per service that may execute one request.
    attempts_max: int = 1
    services: tuple[WeightedService, ...] = ()
    gather: GatherPlan | None = None
    # Urgency among the routes; 0 is the most urgent.
    rank: int = 0
    # Regions whose leaves may serve the route; empty allows every region.
    regions: frozenset[str] = frozenset()

    @property
    def latency_objective_s(self) -> float | None:
        """Return the latency objective in seconds, None if unset."""
        return self.latency_objective_ms / 1000 if self.latency_objective_ms else None

    @property
    def answer_bytes_max(self) -> int:
        """Return the largest body that a leaf may answer with."""
        if self.gather is None:
            return PLAIN_ANSWER_BYTES_MAX
        return self.gather.part_bytes_max


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Hold the limits that every leaf of a service has."""

    name: str
    # Most connections to one leaf, from all of its callers together.
    connections_max: int
    # Requests per second that a cold leaf accepts; 0 for no limit.
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limit the size and time of requests and the idle time of connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Hold the routes, services and limits of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: RequestLimits = field(default_factory=RequestLimits)
