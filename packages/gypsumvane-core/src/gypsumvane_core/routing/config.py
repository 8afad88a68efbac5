"""Routes, services and limits of one configuration version."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its share of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class GatherPlan:
    """Name the services whose parts make up one answer."""

    services: tuple[str, ...]
    records_max: int
    # Share of the services below which an answer is no success.
    min_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """State how the requests below a path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: int
    # Time within which an answer is useful to the caller; 0 when unknown.
    objective_ms: int = 0
    # Leaves on which one request may run, for each service.
    attempts_max: int = 1
    services: tuple[WeightedService, ...] = ()
    gather: GatherPlan | None = None
    # Empty: leaves of every region may serve the route.
    regions: frozenset[str] = frozenset()

    @property
    def objective_s(self) -> float | None:
        """Return the objective, None when it is unknown."""
        return self.objective_ms / 1000 if self.objective_ms else None


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """State what all leaves of a service accept."""

    name: str
    # From all callers of a leaf together.
    connections_max: int
    # Requests that a cold leaf accepts in a second; 0 when it has no limit.
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bound what callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Hold all routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfig]
    limits: RequestLimits = field(default_factory=RequestLimits)
