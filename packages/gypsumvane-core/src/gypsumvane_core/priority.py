"""Priority of requests."""

from __future__ import annotations

from enum import IntEnum


class Priority(IntEnum):
    """Rank requests; a lower number goes first."""

    RUN = 0
    LOOKUP = 1
    SEARCH = 2

    @classmethod
    def of_route(cls, route: str) -> Priority:
        """Return the priority of a route; unknown routes have the lowest one."""
        return {"run": cls.RUN, "lookup": cls.LOOKUP}.get(route, cls.SEARCH)
