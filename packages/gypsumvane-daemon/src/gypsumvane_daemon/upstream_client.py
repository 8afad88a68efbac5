"""HTTP client of one upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientRequest
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import DummyCookieJar
from aiohttp import ServerDisconnectedError
from aiohttp.http_exceptions import HttpProcessingError
from yarl import URL

from gypsumvane_daemon.bounded_response import BoundedResponseHandler
from gypsumvane_daemon.error_text import describe_error
from gypsumvane_daemon.error_text import release_frames
from gypsumvane_daemon.leaf_connector import LeafConnector
from gypsumvane_daemon.leaf_connector import read_response

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import ClientResponse
    from aiohttp.connector import Connection

NO_TIMEOUT = ClientTimeout(total=None, sock_connect=None)
STATUS_TIMEOUT_S = 1.0
# Largest response of an upstream. A search answer takes about 100 bytes a hit.
RESPONSE_BYTES_MAX = 2**20
JSON = "application/json"


@dataclass(slots=True)
class LeafCall:
    """Request to an upstream; ``written`` is set before its first byte is sent."""

    request_id: str
    path: str
    body: bytes
    deadline_left_ms: int
    snapshot: int = 0
    caller_id: str = ""
    idempotency_key: str = ""
    written: bool = False

    def encode(self, host: str) -> bytes:
        """Serialize the request."""
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {self.request_id}",
            f"Deadline-Ms: {self.deadline_left_ms}",
            f"Content-Type: {JSON}",
            f"Content-Length: {len(self.body)}",
        ]
        if self.snapshot:
            lines.append(f"Snapshot: {self.snapshot}")
        if self.caller_id:
            lines.append(f"Caller-Id: {self.caller_id}")
        if self.idempotency_key:
            lines.append(f"Idempotency-Key: {self.idempotency_key}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Parsed response of an upstream."""

    status: int
    body: bytes
    request_id: str = ""
    boot_id: str = ""
    version: str = ""
    # Negative if the response names no snapshot.
    snapshot: int = -1
    draining: bool = False
    not_run: bool = False
    retry_after_ms: int = 0


@dataclass(slots=True)
class LeafCallError(Exception):
    """Signal a call without a usable response."""

    message: str
    # No connection could be opened.
    unreachable: bool = False
    # The timeout has elapsed.
    timed_out: bool = False
    # The response belongs to another request.
    mismatched: bool = False
    args: tuple[str, ...] = field(default=(), init=False)


def is_header_value(text: str) -> bool:
    """Return whether untrusted text can be written into a header safely."""
    return text.isprintable()


class UpstreamClient:
    """Send requests to one upstream over its own connection pool.

    Calls use the connections and the response parser of aiohttp but not its
    ClientSession, which takes most of the time of a call; see
    docs/decisions/leaf-call-cost.md. Without the session no request is ever sent
    twice, neither after a keep-alive connection turns out to be closed nor after
    a redirect. The session is used for status reports and cancellation.
    """

    def __init__(self, address: str, *, connections: int) -> None:
        self._connector = LeafConnector(connections, bytes_max=RESPONSE_BYTES_MAX)
        self._session = ClientSession(
            connector=self._connector,
            cookie_jar=DummyCookieJar(),
            timeout=NO_TIMEOUT,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            auto_decompress=False,
        )
        self._host = address
        base = URL.build(scheme="http", authority=address)
        self._status_url = base.with_path("/v1/status")
        self._requests_url = base.with_path("/v1/requests")
        # Passed to the connector as the address to connect to; never sent.
        self._endpoint = ClientRequest("POST", base, loop=asyncio.get_running_loop())

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def set_connections(self, limit: int) -> None:
        """Change the maximum number of open connections."""
        self._connector.set_limit(limit)

    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._connector.open_count()

    async def send(self, call: LeafCall) -> LeafAnswer:
        """Send a call at most once and return its answer.

        Raises LeafCallError; ``call.written`` shows whether the upstream may have
        received the request.
        """
        try:
            connection = await self._connector.connect(
                self._endpoint, traces=[], timeout=NO_TIMEOUT
            )
        except ClientConnectorError as error:
            raise LeafCallError(str(error), unreachable=True) from error
        except (ClientError, OSError) as error:
            raise LeafCallError(describe_error(error)) from error
        try:
            answer = await self._exchange(connection, call)
        except (ClientError, HttpProcessingError, OSError, ValueError) as error:
            connection.close()
            release_frames(error)
            raise LeafCallError(describe_error(error)) from error
        except BaseException:
            connection.close()
            raise
        if answer.request_id == call.request_id:
            connection.release()
        else:
            # The next response on this connection may belong to another request too.
            connection.close()
        return answer

    async def _exchange(self, connection: Connection, call: LeafCall) -> LeafAnswer:
        protocol = connection.protocol
        if not isinstance(protocol, BoundedResponseHandler) or not protocol.transport:
            raise ServerDisconnectedError
        protocol.set_response_params(read_until_eof=True, auto_decompress=False)
        # From here on the upstream may run the request.
        call.written = True
        protocol.transport.write(call.encode(self._host))
        message, body = await read_response(protocol)
        return _read_answer(message.code, message.headers, body)

    async def cancel(self, request_id: str) -> None:
        """Ask the upstream to cancel a request.

        Raises LeafCallError, also for a server error and for an answer that belongs
        to another request, which confirm nothing.
        """
        try:
            async with self._session.delete(
                self._requests_url / request_id, allow_redirects=False
            ) as response:
                _require_own_answer(response, request_id)
                await response.read()
                if response.status >= 500:
                    raise LeafCallError(f"cancellation failed with {response.status}")
        except (ClientError, OSError) as error:
            release_frames(error)
            raise LeafCallError(describe_error(error)) from error

    async def status(self) -> LeafAnswer:
        """Request the status report of the upstream.

        Raises LeafCallError, also after STATUS_TIMEOUT_S.
        """
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                async with self._session.get(
                    self._status_url, allow_redirects=False
                ) as response:
                    # Status requests carry no identifier.
                    _require_own_answer(response)
                    body = await response.read()
                    return _read_answer(response.status, response.headers, body)
        except ClientConnectorError as error:
            raise LeafCallError(str(error), unreachable=True) from error
        except TimeoutError as error:
            raise LeafCallError(
                f"no status report within {STATUS_TIMEOUT_S} s", timed_out=True
            ) from error
        except (ClientError, OSError, ValueError) as error:
            release_frames(error)
            raise LeafCallError(describe_error(error)) from error

    async def open_connections_ahead(self, count: int) -> None:
        """Open connections up to a number by sending concurrent status requests."""
        missing = count - self.open_connections()
        if missing > 0:
            await asyncio.gather(
                *(self.status() for _ in range(count)), return_exceptions=True
            )


def _require_own_answer(response: ClientResponse, request_id: str = "") -> None:
    """Close the connection if a response names another request.

    Raises LeafCallError then.
    """
    if response.headers.get("Request-Id", "") not in ("", request_id):
        response.close()
        raise LeafCallError("response belongs to another request", mismatched=True)


def _read_answer(status: int, headers: Mapping[str, str], body: bytes) -> LeafAnswer:
    return LeafAnswer(
        status=status,
        body=body,
        request_id=headers.get("Request-Id", ""),
        boot_id=headers.get("Boot-Id", ""),
        version=headers.get("Upstream-Version", ""),
        snapshot=int(headers.get("Snapshot") or -1),
        draining=headers.get("Draining") == "1",
        not_run=headers.get("Verdict") == "not-run",
        retry_after_ms=int(headers.get("Retry-After-Ms") or 0),
    )
