"""Distribution of a route's requests over weighted services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumvane_core.routing.config import WeightedService


class TrafficSplit:
    """Choose services by smooth weighted round robin.

    Unlike random choice, it meets the weights after a few requests already.
    """

    def __init__(self) -> None:
        # Credit of each service, by route; the highest is chosen next.
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: str, services: Sequence[WeightedService]) -> str:
        """Return the service for the next request of a route."""
        if len(services) == 1:
            return services[0].service
        credit = self._credits.setdefault(route, {})
        total = 0.0
        for part in services:
            credit[part.service] = credit.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(services, key=lambda part: credit[part.service]).service
        credit[chosen] -= total
        return chosen

    def reset(self) -> None:
        """Reset the credits of all routes after the weights have changed."""
        self._credits.clear()
