"""When a service that has not answered is asked at another leaf."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from gypsumvane_core.latency_window import LatencyWindow

# A second attempt takes about the median itself, so that one sent before twice
# the median seldom comes first; with 20 services per query such hedges used the
# whole budget up and none was left for stragglers.
MEDIAN_FACTOR_MIN = 2.0
# A service of which one leaf in two is slow in a tenth of its answers has its
# 95th percentile inside the slow answers. A multiple of the median stays below.
MEDIAN_FACTOR_MAX = 3.0
# Used until a service has enough samples.
DEFAULT_DELAY_S = 0.05


class HedgePolicy(Protocol):
    """Hold the quantile and the least delay of hedges."""

    @property
    def hedge_quantile(self) -> float:
        """Return the quantile of the latency after which a hedge is sent."""

    @property
    def hedge_min_ms(self) -> int:
        """Return the least delay."""


# A delay is computed again after this many answers of its service.
ANSWERS_PER_DELAY = 8


@dataclass(slots=True)
class _ServiceDelay:
    """Keep the latency of a service and the delay that follows from it."""

    window: LatencyWindow = field(default_factory=LatencyWindow)
    delay_s: float = DEFAULT_DELAY_S
    new_answers: int = 0


class HedgeDelays:
    """Derive the hedge delay of each service from its recent latency."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDelay] = {}

    def add(self, service: str, latency_s: float) -> None:
        """Record the time from the first try of a service to its answer."""
        delay = self._services.get(service)
        if delay is None:
            delay = self._services[service] = _ServiceDelay()
        delay.window.add(latency_s)
        delay.new_answers += 1

    def delay_s(self, service: str, policy: HedgePolicy) -> float:
        """Return the time after which a service is hedged."""
        delay = self._services.get(service)
        if delay is None:
            return max(DEFAULT_DELAY_S, policy.hedge_min_ms / 1000)
        if delay.new_answers >= ANSWERS_PER_DELAY:
            delay.new_answers = 0
            delay.delay_s = _delay_s(delay.window, policy)
        return max(delay.delay_s, policy.hedge_min_ms / 1000)

    def median_s(self, service: str) -> float | None:
        """Return the median latency, None with too few samples."""
        delay = self._services.get(service)
        return None if delay is None else delay.window.quantile(0.5)

    def keep_only(self, services: set[str]) -> None:
        """Forget the services that no index names any more."""
        for service in self._services.keys() - services:
            del self._services[service]


def _delay_s(window: LatencyWindow, policy: HedgePolicy) -> float:
    quantile_s = window.quantile(policy.hedge_quantile)
    median_s = window.quantile(0.5)
    if quantile_s is None or median_s is None:
        return DEFAULT_DELAY_S
    delay_s = max(quantile_s, MEDIAN_FACTOR_MIN * median_s)
    return min(delay_s, MEDIAN_FACTOR_MAX * median_s)
