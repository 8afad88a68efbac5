"""Lookup of the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import Route
    from gypsumvane_core.routing.config import RoutingConfig


class RouteTable:
    """Find the route of a host with the longest matching path prefix."""

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in config.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a Host header and a path without query, if any.

        Every path prefix begins and ends with a slash, so only the prefixes of the
        path that end at a slash are looked up.
        """
        name = host_name(host)
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def host_name(host: str) -> str:
    """Return the host name in a Host header in lower case, without the port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
