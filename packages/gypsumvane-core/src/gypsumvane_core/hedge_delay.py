"""When a service that has not answered is asked at another leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.latency_window import LatencyWindow

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# A service of which one leaf in two is slow in a tenth of its answers has its
# 95th percentile inside the slow answers. A multiple of the median stays below.
MEDIAN_FACTOR = 3.0
# Used until a service has enough samples.
DEFAULT_DELAY_S = 0.05


class HedgeDelays:
    """Derive the hedge delay of each service from its recent latency."""

    def __init__(self) -> None:
        self._windows: dict[str, LatencyWindow] = {}

    def add(self, service: str, latency_s: float) -> None:
        """Record the time from the first try of a service to its answer."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow()
        window.add(latency_s)

    def delay_s(self, service: str, policy: Policy) -> float:
        """Return the time after which a service is hedged."""
        delay_min_s = policy.hedge_min_ms / 1000
        window = self._windows.get(service)
        quantile_s = window.quantile(policy.hedge_quantile) if window else None
        median_s = window.quantile(0.5) if window else None
        if quantile_s is None or median_s is None:
            return max(DEFAULT_DELAY_S, delay_min_s)
        return max(min(quantile_s, MEDIAN_FACTOR * median_s), delay_min_s)

    def keep_only(self, services: set[str]) -> None:
        """Forget the services that no index names any more."""
        for service in self._windows.keys() - services:
            del self._windows[service]
