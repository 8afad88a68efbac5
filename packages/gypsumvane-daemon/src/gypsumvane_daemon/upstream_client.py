"""HTTP calls to one upstream."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientRequest
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import DummyCookieJar
from yarl import URL

from gypsumvane_daemon.leaf_connector import LeafConnector

if TYPE_CHECKING:
    from aiohttp import ClientResponse
    from aiohttp.connector import Connection

NO_TIMEOUT = ClientTimeout(total=None, sock_connect=None)
STATUS_TIMEOUT_S = 1.0
JSON = "application/json"


@dataclass(slots=True)
class LeafCall:
    """Describe one request and whether any of it may have been written."""

    request_id: str
    path: str
    body: bytes
    deadline_left_ms: int
    snapshot: int = 0
    caller_id: str = ""
    idempotency_key: str = ""
    written: bool = False

    def headers(self) -> dict[str, str]:
        """Return the request headers."""
        headers = {
            "Request-Id": self.request_id,
            "Deadline-Ms": str(self.deadline_left_ms),
            "Content-Type": JSON,
        }
        if self.snapshot:
            headers["Snapshot"] = str(self.snapshot)
        if self.caller_id:
            headers["Caller-Id"] = self.caller_id
        if self.idempotency_key:
            headers["Idempotency-Key"] = self.idempotency_key
        return headers


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Carry the parts of a response that decisions need."""

    status: int
    body: bytes
    request_id: str = ""
    boot_id: str = ""
    version: str = ""
    # Negative: the response names no snapshot.
    snapshot: int = -1
    draining: bool = False
    not_run: bool = False
    retry_after_ms: int = 0


@dataclass(slots=True)
class LeafCallError(Exception):
    """Report a call without a usable response."""

    message: str
    # No connection could be opened.
    unreachable: bool = False
    # The time ran out.
    late: bool = False
    args: tuple[str, ...] = field(default=(), init=False)


# The call that the current task sends, for the request class below.
_current_call: ContextVar[LeafCall | None] = ContextVar("leaf_call", default=None)


class _MarkingRequest(ClientRequest):
    """Mark the call before its first byte is written."""

    async def send(self, conn: Connection) -> ClientResponse:
        call = _current_call.get()
        if call is not None:
            call.written = True
        return await super().send(conn)


class UpstreamClient:
    """Send requests to one upstream over its own connections.

    aiohttp sends GET and DELETE again by itself when a kept connection turns
    out to be closed, but never POST; redirects are off because a 307 would
    send a POST again.
    """

    def __init__(self, address: str, *, connections: int) -> None:
        self._connector = LeafConnector(connections)
        self._session = ClientSession(
            connector=self._connector,
            cookie_jar=DummyCookieJar(),
            timeout=NO_TIMEOUT,
            request_class=_MarkingRequest,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            auto_decompress=False,
        )
        base = URL.build(scheme="http", authority=address)
        self._urls = {
            path: base.with_path(path)
            for path in ("/v1/search", "/v1/lookup", "/v1/run", "/v1/status")
        }
        self._requests = base.with_path("/v1/requests")

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def set_connections(self, limit: int) -> None:
        """Change the number of connections that may be open."""
        self._connector.set_limit(limit)

    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._connector.open_count()

    async def send(self, call: LeafCall) -> LeafAnswer:
        """Send a call once and return its answer.

        Raises LeafCallError; ``call.written`` tells whether it was written.
        """
        _current_call.set(call)
        try:
            async with self._session.post(
                self._urls[call.path],
                data=call.body,
                headers=call.headers(),
                allow_redirects=False,
            ) as response:
                answer = _read_answer(response, await response.read())
                if answer.request_id != call.request_id:
                    # The next response on this connection may be wrong too.
                    response.close()
                return answer
        except ClientConnectorError as error:
            raise LeafCallError(str(error), unreachable=True) from error
        except (ClientError, OSError, ValueError) as error:
            raise LeafCallError(f"{type(error).__name__}: {error}") from error

    async def cancel(self, request_id: str) -> None:
        """Ask the upstream to cancel a request.

        Raises LeafCallError.
        """
        try:
            async with self._session.delete(
                self._requests / request_id, allow_redirects=False
            ) as response:
                await response.read()
        except (ClientError, OSError) as error:
            raise LeafCallError(f"{type(error).__name__}: {error}") from error

    async def status(self) -> LeafAnswer:
        """Read the status report of the upstream.

        Raises LeafCallError, also after STATUS_TIMEOUT_S.
        """
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                async with self._session.get(
                    self._urls["/v1/status"], allow_redirects=False
                ) as response:
                    return _read_answer(response, await response.read())
        except ClientConnectorError as error:
            raise LeafCallError(str(error), unreachable=True) from error
        except TimeoutError as error:
            raise LeafCallError("no status in time", late=True) from error
        except (ClientError, OSError, ValueError) as error:
            raise LeafCallError(f"{type(error).__name__}: {error}") from error

    async def open_ahead(self, count: int) -> None:
        """Open connections up to a number, by status requests at once."""
        missing = count - self.open_connections()
        if missing > 0:
            await asyncio.gather(
                *(self.status() for _ in range(count)), return_exceptions=True
            )


def _read_answer(response: ClientResponse, body: bytes) -> LeafAnswer:
    headers = response.headers
    return LeafAnswer(
        status=response.status,
        body=body,
        request_id=headers.get("Request-Id", ""),
        boot_id=headers.get("Boot-Id", ""),
        version=headers.get("Upstream-Version", ""),
        snapshot=int(headers.get("Snapshot") or -1),
        draining=headers.get("Draining") == "1",
        not_run=headers.get("Verdict") == "not-run",
        retry_after_ms=int(headers.get("Retry-After-Ms") or 0),
    )
