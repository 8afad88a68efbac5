"""Latencies of routes and the hedge delays that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gypsumvane_core.hedge_delay import DEFAULT_DELAY_S
from gypsumvane_core.hedge_delay import MEDIAN_FACTOR_MIN
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.routing.coverage import DELIVERY_MARGIN_S

# Usual latency of a route without samples, as a share of its objective: the
# objectives of the platform's kinds of requests are 3.6 to 10 times their work.
DEFAULT_LATENCY_SHARE = 0.25
# A hedge that has to be sent earlier than at this multiple of the median, so
# that it is in time, seldom comes first and uses the budget up.
EARLIEST_HEDGE_MEDIANS = 1.5


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Hold the quantile and the least delay of hedges."""

    hedge_quantile: float = 0.9
    hedge_min_ms: int = 8


@dataclass(slots=True)
class LatencyTracker:
    """Follow the latency of each route over all leaves."""

    settings: HedgeSettings = field(default_factory=HedgeSettings)
    _delays: HedgeDelays = field(default_factory=HedgeDelays)

    def add(self, route: str, latency_s: float) -> None:
        """Record the latency of one leaf's answer."""
        self._delays.add(route, latency_s)

    def median_s(self, route: str, *, objective_s: float | None = None) -> float:
        """Return the median latency of a route, an estimate without samples."""
        median_s = self._delays.median_s(route)
        return _estimate_s(objective_s) if median_s is None else median_s

    def hedge_after_s(self, route: str, *, objective_s: float | None = None) -> float:
        """Return the age of a send after which another leaf is asked.

        With an objective the second leaf gets the time of a usual answer.
        """
        median_s = self._delays.median_s(route)
        if median_s is None:
            median_s = _estimate_s(objective_s)
            delay_s = MEDIAN_FACTOR_MIN * median_s
        else:
            learned_s = self._delays.delay_s(route, self.settings)
            delay_s = max(MEDIAN_FACTOR_MIN * median_s, learned_s)
        if objective_s is None:
            return delay_s
        latest_s = objective_s - DELIVERY_MARGIN_S - median_s
        earliest_s = max(
            EARLIEST_HEDGE_MEDIANS * median_s, self.settings.hedge_min_ms / 1000
        )
        return min(delay_s, max(latest_s, earliest_s))

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that are configured no longer."""
        self._delays.keep_only(routes)


def _estimate_s(objective_s: float | None) -> float:
    return (
        DEFAULT_DELAY_S if objective_s is None else DEFAULT_LATENCY_SHARE * objective_s
    )
