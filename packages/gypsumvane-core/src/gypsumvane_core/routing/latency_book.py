"""Latencies of routes and the hedge delays that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.hedge_delay import DEFAULT_DELAY_S
from gypsumvane_core.hedge_delay import HedgeDelays


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Hold the quantile and the least delay of hedges."""

    hedge_quantile: float = 0.9
    hedge_min_ms: int = 8


@dataclass(slots=True)
class LatencyBook:
    """Follow the latency of each route over all leaves."""

    settings: HedgeSettings = field(default_factory=HedgeSettings)
    _delays: HedgeDelays = field(default_factory=HedgeDelays)

    def add(self, route: str, latency_s: float) -> None:
        """Record the latency of one leaf's answer."""
        self._delays.add(route, latency_s)

    def median_s(self, route: str) -> float:
        """Return the median latency of a route."""
        median_s = self._delays.median_s(route)
        return DEFAULT_DELAY_S if median_s is None else median_s

    def hedge_after_s(self, route: str) -> float:
        """Return the age of a send after which another leaf is asked."""
        return self._delays.delay_s(route, self.settings)

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that are configured no longer."""
        self._delays.keep_only(routes)
