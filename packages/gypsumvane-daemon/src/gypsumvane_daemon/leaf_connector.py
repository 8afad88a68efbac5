"""Connection pool of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_daemon.bounded_response import BoundedConnector

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import SocketFactoryType
    from aiohttp.http_parser import RawResponseMessage


async def read_response(protocol: ResponseHandler) -> tuple[RawResponseMessage, bytes]:
    """Read the next response and its body; skip informational (1xx) responses."""
    message, payload = await protocol.read()
    while message.code < 200:
        message, payload = await protocol.read()
    # A small body usually arrives together with its headers.
    body = payload.read_nowait() if payload.is_eof() else await payload.read()
    return message, body


class LeafConnector(BoundedConnector):
    """Keep connections open and allow changing their limit at run time.

    aiohttp has no public API to change the limit of a connector, and a new
    connector would lose the open connections. This class therefore sets private
    attributes of the aiohttp version that ``constraints.txt`` pins.
    """

    def __init__(
        self,
        limit: int,
        *,
        bytes_max: int,
        socket_factory: SocketFactoryType | None = None,
    ) -> None:
        # Idle connections never expire, because opening one takes up to 6 ms.
        super().__init__(
            bytes_max=bytes_max,
            limit=max(1, limit),
            keepalive_timeout=None,
            socket_factory=socket_factory,
        )

    def set_limit(self, limit: int) -> None:
        """Change the limit and close idle connections in excess of it.

        Limit 0 closes all idle connections; the caller must not send anything
        until the limit is raised.
        """
        # aiohttp treats 0 as unlimited.
        self._limit = max(1, limit)
        excess = self.open_count() - limit
        for pool in self._conns.values():
            while excess > 0 and pool:
                protocol, _ = pool.popleft()
                protocol.close()
                excess -= 1

    def open_count(self) -> int:
        """Return the number of open connections."""
        idle = sum(
            protocol.is_connected()
            for pool in self._conns.values()
            for protocol, _ in pool
        )
        return idle + len(self._acquired)
