"""HTTP responses with a bound on their size, for clients of other processes."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler

from gypsumvane_core.routing.receive_allowance import AnswerSize
from gypsumvane_core.routing.receive_allowance import ReceiveAllowance

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.connector import SocketFactoryType
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader
    from aiohttp.tracing import Trace


# Bytes that are parsed at a time. Each response of some tens of bytes becomes objects
# of some kilobytes, and the parser returns all responses in its input at once.
PARSED_BYTES_MAX = 8192
# Most responses from one request to the next, with the informational ones.
RESPONSES_MAX = 64


class ResponseTooLargeError(ClientPayloadError):
    """Report a response that exceeds its bound."""


class BoundedResponseHandler(ResponseHandler):
    """Parse responses and close the connection when one exceeds a bound.

    aiohttp bounds the lines of a head but not the number of responses, the body, chunk
    extensions and trailers. It also takes a response without a length as complete when
    its connection is reset.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        bytes_max: int,
        allowance: ReceiveAllowance | None,
    ) -> None:
        super().__init__(loop=loop)
        self._size = AnswerSize(allowance or ReceiveAllowance())
        # Bound of everything that arrives from one request to the next.
        self.bytes_max = bytes_max
        # Whether the connection ended by an error or by this class.
        self.lost_by_error = False
        self._received_bytes = 0
        self._responses = 0
        self._failed = False
        self._awaits_response = True

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a new request."""
        self._size.reset()
        self._received_bytes = 0
        self._responses = 0
        self._awaits_response = True
        super().set_response_params(**params)

    def end_response(self) -> None:
        """Close the connection if anything arrives before the next request."""
        self._size.reset()
        self._awaits_response = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the bound."""
        self._received_bytes += len(data)
        if not self._awaits_response and data:
            self._fail(ResponseTooLargeError("bytes without a request"))
        elif self._received_bytes > self.bytes_max:
            self._fail(
                ResponseTooLargeError(f"response exceeds {self.bytes_max} bytes")
            )
        elif not self._size.add(len(data)):
            self._fail(ResponseTooLargeError("no memory left for large responses"))
        elif len(data) <= PARSED_BYTES_MAX:
            super().data_received(data)
        else:
            for start in range(0, len(data), PARSED_BYTES_MAX):
                if self._failed:
                    return
                super().data_received(data[start : start + PARSED_BYTES_MAX])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a parsed response within the bound."""
        self._responses += 1
        if self._responses <= RESPONSES_MAX:
            super().feed_data(data, size)
        elif not self._failed:
            self._fail(ResponseTooLargeError(f"over {RESPONSES_MAX} responses"))

    def close(self) -> None:
        """Close the connection and drop responses that were not read."""
        self._buffer.clear()
        self._size.reset()
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended by an error."""
        self.lost_by_error = self.lost_by_error or exc is not None
        super().connection_lost(exc)

    def _fail(self, error: ResponseTooLargeError) -> None:
        self.lost_by_error = True
        self._failed = True
        self._buffer.clear()
        self._size.reset()
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(TCPConnector):
    """Open connections whose responses are bounded and belong to their requests."""

    def __init__(
        self,
        *,
        bytes_max: int,
        limit: int = 0,
        keepalive_timeout: float | None = None,
        socket_factory: SocketFactoryType | None = None,
        allowance: ReceiveAllowance | None = None,
    ) -> None:
        super().__init__(
            limit=limit,
            keepalive_timeout=keepalive_timeout,
            socket_factory=socket_factory,
        )
        # aiohttp has no public way to choose the protocol class.
        self._factory = partial(  # type: ignore[assignment]
            BoundedResponseHandler,
            asyncio.get_running_loop(),
            bytes_max=bytes_max,
            allowance=allowance,
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, each of which may be silent."""
        for key, pool in self._conns.items():
            if f"{key.host}:{key.port}" == address:
                for protocol, _ in pool:
                    protocol.close()

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # aiohttp would reuse an idle connection that has received unsolicited bytes
        # and parse them as the response to the next request.
        for protocol, _ in self._conns.get(key, ()):
            if protocol.should_close:
                protocol.close()
        return await super()._get(key, traces)
