"""Delay after which a service that has not answered is hedged at another leaf."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from gypsumvane_core.latency_window import LatencyWindow

# A hedge itself takes about the median, so one sent before twice the median seldom
# answers first; with 20 services per query such hedges used up the whole budget
# and left none for stragglers.
MEDIAN_FACTOR_MIN = 2.0
# If one leaf of two is slow in a tenth of its answers, the 95th percentile of the
# service lies among the slow answers; a multiple of the median stays below them.
MEDIAN_FACTOR_MAX = 3.0
# Used until a service has enough samples.
DEFAULT_DELAY_S = 0.05


class HedgePolicy(Protocol):
    """Provide the settings that the hedge delay depends on."""

    @property
    def hedge_quantile(self) -> float:
        """Return the latency quantile after which a hedge is sent."""

    @property
    def hedge_min_ms(self) -> int:
        """Return the minimum delay in milliseconds."""


# The delay of a service is recomputed after this many of its answers.
ANSWERS_PER_DELAY = 8


@dataclass(slots=True)
class _ServiceDelay:
    """Hold the recent latency of a service and the delay derived from it."""

    window: LatencyWindow = field(default_factory=LatencyWindow)
    delay_s: float = DEFAULT_DELAY_S
    new_answers: int = 0


class HedgeDelays:
    """Derive the hedge delay of each service from its recent latency."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDelay] = {}

    def add(self, service: str, latency_s: float) -> None:
        """Record the time from the first attempt at a service to its answer."""
        delay = self._services.get(service)
        if delay is None:
            delay = self._services[service] = _ServiceDelay()
        delay.window.add(latency_s)
        delay.new_answers += 1

    def delay_s(self, service: str, policy: HedgePolicy) -> float:
        """Return the time after which a service is hedged, in seconds."""
        delay = self._services.get(service)
        if delay is None:
            return max(DEFAULT_DELAY_S, policy.hedge_min_ms / 1000)
        if delay.new_answers >= ANSWERS_PER_DELAY:
            delay.new_answers = 0
            delay.delay_s = _delay_s(delay.window, policy)
        return max(delay.delay_s, policy.hedge_min_ms / 1000)

    def median_s(self, service: str) -> float | None:
        """Return the median latency in seconds, None with too few samples."""
        delay = self._services.get(service)
        return None if delay is None else delay.window.quantile(0.5)

    def keep_only(self, services: set[str]) -> None:
        """Drop the services that are not in the given set."""
        for service in self._services.keys() - services:
            del self._services[service]


def _delay_s(window: LatencyWindow, policy: HedgePolicy) -> float:
    quantile_s = window.quantile(policy.hedge_quantile)
    median_s = window.quantile(0.5)
    if quantile_s is None or median_s is None:
        return DEFAULT_DELAY_S
    delay_s = max(quantile_s, MEDIAN_FACTOR_MIN * median_s)
    return min(delay_s, MEDIAN_FACTOR_MAX * median_s)
