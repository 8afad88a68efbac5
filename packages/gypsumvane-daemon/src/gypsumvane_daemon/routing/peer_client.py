"""HTTP client for calls to peers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientTimeout

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_daemon.error_text import describe_error
from gypsumvane_daemon.error_text import release_frames
from gypsumvane_daemon.routing.sockets import close_idle_connections
from gypsumvane_daemon.routing.sockets import keepalive_session

if TYPE_CHECKING:
    from aiohttp import ClientSession

CONNECT_TIMEOUT_S = 0.5
OK = 200


class PeerError(Exception):
    """Report a call to a peer that failed or was answered with an error."""

    def __init__(self, message: str, *, status: int = 0, refused: bool = False) -> None:
        super().__init__(message)
        # HTTP status of the answer; 0 if there was none.
        self.status = status
        # Whether the connection was refused, that is, no daemon runs there.
        self.refused = refused


class PeerClient:
    """Exchange JSON with peers over persistent connections."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Any:
        """Send a request and return the decoded JSON body of the answer.

        Raises PeerError if there is no answer within timeout_s, its status is not
        200 or its body is not JSON.
        """
        if self._session is None:
            self._session = keepalive_session(
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding")
            )
        try:
            # The time-out of aiohttp may take back a cancellation of this task.
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method,
                    f"http://{address}{path}",
                    params=query,
                    data=None if body is None else json.dumps(body).encode(),
                    timeout=ClientTimeout(sock_connect=connect_timeout_s),
                ) as response,
            ):
                content = await response.read()
                if response.status != OK:
                    raise PeerError(
                        f"{address}{path}: status {response.status}",
                        status=response.status,
                    )
                return decode_json(content)
        except ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            raise PeerError(f"{address}{path}: {error}", refused=refused) from error
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            if isinstance(error, TimeoutError):
                close_idle_connections(self._session, address)
            release_frames(error)
            raise PeerError(f"{address}{path}: {describe_error(error)}") from error

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
