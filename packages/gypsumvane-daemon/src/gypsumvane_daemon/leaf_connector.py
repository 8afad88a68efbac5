"""Connection pool of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ServerDisconnectedError

from gypsumvane_core.answer_status import StatusKind
from gypsumvane_core.answer_status import classify_status
from gypsumvane_daemon.bounded_response import BoundedConnector

if TYPE_CHECKING:
    from aiohttp.connector import SocketFactoryType
    from aiohttp.http_parser import RawResponseMessage

    from gypsumvane_core.routing.receive_allowance import ReceiveAllowance
    from gypsumvane_daemon.bounded_response import BoundedResponseHandler

# Statuses whose responses have no body.
BODILESS_STATUSES = frozenset({204, 304})


class InvalidStatusError(ClientError):
    """Report a response whose status no answer has."""


async def read_response(
    protocol: BoundedResponseHandler,
) -> tuple[RawResponseMessage, bytes]:
    """Read the next response and its body; skip informational (1xx) responses.

    Raises ServerDisconnectedError if the connection is reset within a body that only
    its end would end, and InvalidStatusError.
    """
    message, payload = await protocol.read()
    while (kind := classify_status(message.code)) is StatusKind.INTERIM:
        message, payload = await protocol.read()
    if kind is StatusKind.INVALID:
        raise InvalidStatusError(f"{message.code:03} is no status of an answer")
    # A small body usually arrives together with its headers.
    body = payload.read_nowait() if payload.is_eof() else await payload.read()
    if _ends_with_connection(message) and protocol.lost_by_error:
        raise ServerDisconnectedError(
            "connection was reset within a response without a length"
        )
    return message, body


def _ends_with_connection(message: RawResponseMessage) -> bool:
    """Return whether only the end of the connection marks the end of the body."""
    if message.chunked or message.code in BODILESS_STATUSES:
        return False
    return "Content-Length" not in message.headers


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
        allowance: ReceiveAllowance | None = None,
    ) -> None:
        # Idle connections never expire, because opening one takes up to 6 ms.
        super().__init__(
            bytes_max=bytes_max,
            limit=max(1, limit),
            keepalive_timeout=None,
            socket_factory=socket_factory,
            allowance=allowance,
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
