"""Latency statistics per route and the hedge delays derived from them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.hedge_delay import DEFAULT_DELAY_S
from gypsumvane_core.hedge_delay import MEDIAN_FACTOR_MIN
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.routing.coverage import DELIVERY_MARGIN_S

# Assumed median latency of a route without samples, as a share of its latency
# objective. The platform's latency objectives are 3.6 to 10 times the processing time
# of a request.
DEFAULT_LATENCY_SHARE = 0.25
# Earliest time of a hedge as a multiple of the median latency. An earlier one
# would be in time for a tight objective, but it is rarely answered first and uses
# up the retry budget.
EARLIEST_HEDGE_MEDIANS = 1.5


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Hold the latency quantile after which a hedge is sent and the least delay."""

    hedge_quantile: float = 0.9
    hedge_min_ms: int = 8


@dataclass(slots=True)
class LatencyTracker:
    """Track the latency of each route across all leaves."""

    settings: HedgeSettings = field(default_factory=HedgeSettings)
    _delays: HedgeDelays = field(default_factory=HedgeDelays)

    def add(self, route: str, latency_s: float) -> None:
        """Record the latency of one leaf's answer."""
        self._delays.add(route, latency_s)

    def median_s(
        self, route: str, *, latency_objective_s: float | None = None
    ) -> float:
        """Return the median latency of a route, or an estimate without samples."""
        median_s = self._delays.median_s(route)
        return _estimate_s(latency_objective_s) if median_s is None else median_s

    def hedge_after_s(
        self, route: str, *, latency_objective_s: float | None = None
    ) -> float:
        """Return how long to wait for a leaf before a hedge is sent to another.

        With a latency objective, the delay is shortened so that the second leaf has
        the median latency left to answer in time, but not below the earliest time of
        a hedge.
        """
        median_s = self._delays.median_s(route)
        if median_s is None:
            median_s = _estimate_s(latency_objective_s)
            delay_s = MEDIAN_FACTOR_MIN * median_s
        else:
            learned_s = self._delays.delay_s(route, self.settings)
            delay_s = max(MEDIAN_FACTOR_MIN * median_s, learned_s)
        if latency_objective_s is None:
            return delay_s
        latest_s = latency_objective_s - DELIVERY_MARGIN_S - median_s
        earliest_s = max(
            EARLIEST_HEDGE_MEDIANS * median_s, self.settings.hedge_min_ms / 1000
        )
        return min(delay_s, max(latest_s, earliest_s))

    def keep_only(self, routes: set[str]) -> None:
        """Drop the samples of all routes but the given ones."""
        self._delays.keep_only(routes)


def _estimate_s(latency_objective_s: float | None) -> float:
    return (
        DEFAULT_DELAY_S
        if latency_objective_s is None
        else DEFAULT_LATENCY_SHARE * latency_objective_s
    )
