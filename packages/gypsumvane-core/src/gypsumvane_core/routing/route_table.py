"""Selection of the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.routing.config import Route
    from gypsumvane_core.routing.config import RoutingConfig


class RouteTable:
    """Find the route with the longest matching prefix."""

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in config.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and a path without query, None without one.

        Every prefix begins and ends with a slash, so that only the prefixes of
        the path up to each slash need to be looked up.
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
    """Return the name in a Host header, in lower case and without a port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
