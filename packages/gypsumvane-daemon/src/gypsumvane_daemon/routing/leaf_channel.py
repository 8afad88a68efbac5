"""HTTP exchanges over pooled connections to one leaf."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientRequest
from aiohttp import ClientTimeout
from aiohttp.http_exceptions import HttpProcessingError
from yarl import URL

from gypsumvane_core.whole_number import parse_whole_number
from gypsumvane_daemon.bounded_response import BoundedResponseHandler
from gypsumvane_daemon.bounded_response import ResponseTooLargeError
from gypsumvane_daemon.error_text import describe_error
from gypsumvane_daemon.error_text import release_frames
from gypsumvane_daemon.leaf_connector import InvalidStatusError
from gypsumvane_daemon.leaf_connector import LeafConnector
from gypsumvane_daemon.leaf_connector import read_response
from gypsumvane_daemon.routing.sockets import keepalive_socket

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace
    from multidict import CIMultiDictProxy

    from gypsumvane_core.reason import Reason
    from gypsumvane_core.routing.receive_allowance import ReceiveAllowance

# Leaves are about 1 ms away. A connection that takes longer lost a packet or goes to
# a VM that is down.
CONNECT_TIMEOUT_S = 0.5
# A connection is not used in this time before the leaf's idle time-out, so that the
# request arrives before the leaf closes it.
IDLE_MARGIN_S = 0.5
# Responses read from a connection before the exchange fails; all but the last may
# be additional responses to earlier requests.
FOREIGN_ANSWERS_MAX = 3
# Bound of the heads that are read in an exchange.
HEADS_BYTES_MAX = 65_536
# Bytes on the connection per byte of a body, for the framing of small chunks.
FRAMING_FACTOR = 2


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Carry a complete response of a leaf."""

    status: int
    # As received, in order.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # The same headers for case-insensitive lookup.
    _fields: CIMultiDictProxy[str]

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if it is absent."""
        return self._fields.get(name, "")


class ExchangeError(Exception):
    """Report an exchange that ended without a usable response."""

    def __init__(
        self,
        message: str,
        *,
        written: bool,
        mismatched: bool = False,
        too_large: bool = False,
    ) -> None:
        super().__init__(message)
        # Whether any byte of the request may have reached the leaf.
        self.written = written
        # Whether what was received is no answer to the request.
        self.mismatched = mismatched
        # Whether the response exceeded its bound.
        self.too_large = too_large


class SendWithdrawnError(Exception):
    """Report a request that must not be sent any more; nothing was written."""

    def __init__(self, message: str, *, reason: Reason) -> None:
        super().__init__(message)
        self.reason = reason


class _Connector(LeafConnector):
    """Connector that closes idle connections before the leaf does."""

    def __init__(self, limit: int, allowance: ReceiveAllowance | None) -> None:
        super().__init__(
            limit,
            bytes_max=HEADS_BYTES_MAX,
            socket_factory=keepalive_socket,
            allowance=allowance,
        )
        self.idle_max_s: float | None = None

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        if self.idle_max_s is not None:
            oldest_s = monotonic() - self.idle_max_s
            for protocol, released_s in self._conns.get(key, ()):
                if released_s < oldest_s:
                    protocol.close()
        return await super()._get(key, traces)


class LeafChannel:
    """Exchange requests and responses with one incarnation of a leaf."""

    def __init__(
        self,
        address: str,
        *,
        connections: int,
        allowance: ReceiveAllowance | None = None,
    ) -> None:
        self._connector = _Connector(connections, allowance)
        self._timeout = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        base = URL.build(scheme="http", authority=address)
        # Names the peer for the connector; this request is never sent.
        self._target = ClientRequest("GET", base, loop=asyncio.get_running_loop())

    def set_connections(self, limit: int) -> None:
        """Set the largest number of open connections."""
        self._connector.set_limit(limit)

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()

    async def exchange(
        self,
        encode_head: Callable[[], bytes],
        *,
        request_body: bytes = b"",
        request_id: str,
        id_header: str,
        body_bytes_max: int,
        bodiless: bool = False,
    ) -> LeafAnswer:
        """Send a request once and return the response with its request id.

        encode_head returns the head when the connection is open, right before it is
        written. Cancellation closes the connection. Raises ExchangeError if no
        complete response of at most body_bytes_max arrives, and passes on a
        SendWithdrawnError of encode_head.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S) as connecting:
                connection = await self._connector.connect(
                    self._target, traces=[], timeout=self._timeout
                )
                connecting.reschedule(None)
        except TimeoutError as error:
            raise ExchangeError(
                f"no connection within {CONNECT_TIMEOUT_S} s", written=False
            ) from error
        except (ClientConnectorError, ClientError, OSError) as error:
            raise ExchangeError(describe_error(error), written=False) from error
        try:
            protocol = _open_protocol(connection)
            request = (encode_head(), request_body)
            protocol.bytes_max = HEADS_BYTES_MAX + FRAMING_FACTOR * body_bytes_max
            protocol.set_response_params(
                read_until_eof=True, auto_decompress=False, skip_payload=bodiless
            )
            answer = await self._transfer(protocol, request, request_id, id_header)
            if len(answer.body) > body_bytes_max:
                raise ResponseTooLargeError(f"body exceeds {body_bytes_max} bytes")
        except SendWithdrawnError:
            connection.release()
            raise
        except ExchangeError:
            connection.close()
            raise
        except ResponseTooLargeError as error:
            connection.close()
            release_frames(error)
            raise ExchangeError(str(error), written=True, too_large=True) from error
        except InvalidStatusError as error:
            connection.close()
            release_frames(error)
            raise ExchangeError(str(error), written=True, mismatched=True) from error
        except (ClientError, HttpProcessingError, OSError, ValueError) as error:
            connection.close()
            release_frames(error)
            raise ExchangeError(describe_error(error), written=True) from error
        except BaseException:
            connection.close()
            raise
        self._apply_idle_limit(answer)
        protocol.end_response()
        connection.release()
        return answer

    async def _transfer(
        self,
        protocol: BoundedResponseHandler,
        request: tuple[bytes, bytes],
        request_id: str,
        id_header: str,
    ) -> LeafAnswer:
        assert protocol.transport is not None
        # Unsent bytes of a body are held once for all leaves that do not read them.
        protocol.transport.writelines(filter(None, request))
        for _ in range(FOREIGN_ANSWERS_MAX):
            answer = await _read_answer(protocol)
            if answer.header(id_header) == request_id:
                return answer
            # Additional response to an earlier request; the next one may match.
        raise ExchangeError(
            "responses belong to other requests", written=True, mismatched=True
        )

    def _apply_idle_limit(self, answer: LeafAnswer) -> None:
        """Take over the idle time-out that the leaf states in Keep-Alive."""
        for part in answer.header("Keep-Alive").split(","):
            name, _, value = part.strip().partition("=")
            idle_s = parse_whole_number(value)
            if name.lower() == "timeout" and idle_s is not None:
                self._connector.idle_max_s = max(0.0, idle_s - IDLE_MARGIN_S)


def _open_protocol(connection: Connection) -> BoundedResponseHandler:
    """Return the protocol of an open connection.

    Raises ExchangeError if the connection was closed before it was used.
    """
    protocol = connection.protocol
    if not isinstance(protocol, BoundedResponseHandler) or protocol.transport is None:
        raise ExchangeError(
            "connection was closed before the request was sent", written=False
        )
    return protocol


async def _read_answer(protocol: BoundedResponseHandler) -> LeafAnswer:
    message, body = await read_response(protocol)
    return LeafAnswer(
        status=message.code,
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in message.raw_headers
        ),
        body=body,
        _fields=message.headers,
    )
