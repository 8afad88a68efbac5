"""The connections of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import TCPConnector

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.connector import SocketFactoryType
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.tracing import Trace


async def read_response(protocol: ResponseHandler) -> tuple[RawResponseMessage, bytes]:
    """Return the next final response and its body."""
    message, payload = await protocol.read()
    while message.code < 200:
        message, payload = await protocol.read()
    # A small body has mostly arrived with its headers.
    body = payload.read_nowait() if payload.is_eof() else await payload.read()
    return message, body


class LeafConnector(TCPConnector):
    """Keep connections open and change their limit while running.

    aiohttp has no public way to change the limit of a connector, and a new
    connector would lose the open connections, so this class sets the private
    fields of the aiohttp version that ``constraints.txt`` pins.
    """

    def __init__(
        self, limit: int, *, socket_factory: SocketFactoryType | None = None
    ) -> None:
        # Idle connections are kept without a time limit: opening one costs up
        # to 6 ms.
        super().__init__(
            limit=max(1, limit), keepalive_timeout=None, socket_factory=socket_factory
        )

    def set_limit(self, limit: int) -> None:
        """Change the limit and close idle connections above it.

        At limit 0 all idle connections are closed; the caller sends nothing.
        """
        # In aiohttp 0 means no limit.
        self._limit = max(1, limit)
        excess = self.open_count() - limit
        for pool in self._conns.values():
            while excess > 0 and pool:
                protocol, _ = pool.popleft()
                protocol.close()
                excess -= 1

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # aiohttp would hand out an idle connection on which bytes have arrived
        # that no request asked for, and take them for the next response.
        for protocol, _ in self._conns.get(key, ()):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)

    def open_count(self) -> int:
        """Return the number of open connections."""
        idle = sum(
            protocol.is_connected()
            for pool in self._conns.values()
            for protocol, _ in pool
        )
        return idle + len(self._acquired)
