"""HTTP listeners with a single handler each."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING
from typing import Any

from aiohttp.web import Response
from aiohttp.web import ServerRunner
from aiohttp.web import SockSite

from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.guarded_server import HEADER_LINE_BYTES
from gypsumvane_daemon.guarded_server import IDLE_TIMEOUT_S
from gypsumvane_daemon.guarded_server import GuardedServer
from gypsumvane_daemon.guarded_server import ListenerGuard
from gypsumvane_daemon.guarded_server import ListenerRules
from gypsumvane_daemon.listening_socket import bind_listener

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web import BaseRequest
    from aiohttp.web import StreamResponse

    from gypsumvane_daemon.client_guard import ClientGuard

    Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]

logger = logging.getLogger(__name__)

# Connections that wait to be accepted while the process is busy.
BACKLOG = 512
# Time for open connections to close. The planned stop has waited for requests by then;
# those still in progress are aborted.
SHUTDOWN_TIMEOUT_S = 0.2


class ListenError(Exception):
    """Report an address that cannot be bound."""


class HttpListener:
    """Serve HTTP on one address with one handler for all paths.

    The guard is shared by all listeners of a process.
    """

    def __init__(
        self, name: str, address: str, handler: Handler, guard: ClientGuard
    ) -> None:
        self.name = name
        # What clients may send on connections opened from now on.
        self.rules = ListenerRules(name)
        self._address = address
        self._handler = handler
        self._guard = guard
        self._runner: ServerRunner | None = None
        self._server: GuardedServer | None = None

    async def start(self) -> None:
        """Bind the address.

        Raises ListenError.
        """
        host, port = split_address(self._address)
        self._server = GuardedServer(
            self._handler,
            ListenerGuard(self._guard, self.rules),
            keepalive_timeout=IDLE_TIMEOUT_S,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=HEADER_LINE_BYTES,
            max_field_size=HEADER_LINE_BYTES,
        )
        self._runner = ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        try:
            sock = bind_listener(host, port)
            await SockSite(self._runner, sock, backlog=BACKLOG).start()
        except OSError as error:
            await self._runner.cleanup()
            raise ListenError(
                f"cannot listen on {self._address} for {self.name}: {error}"
            ) from error

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Set the idle time after which connections opened from now on are closed."""
        if self._server is not None:
            self._server._kwargs["keepalive_timeout"] = timeout_s

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


def json_response(value: Any) -> Response:
    """Return a JSON response."""
    return Response(body=json.dumps(value).encode(), content_type="application/json")


def text_response(status: int, text: str) -> Response:
    """Return a plain text response."""
    return Response(status=status, body=text.encode(), content_type="text/plain")
