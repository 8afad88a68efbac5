"""HTTP listener of the operator API."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from aiohttp.web import Application
from aiohttp.web import SockSite
from aiohttp.web import StreamResponse
from aiohttp.web import middleware

from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.client_service import ClientService
from gypsumvane_daemon.document_service import DocumentService
from gypsumvane_daemon.guarded_server import IDLE_TIMEOUT_S
from gypsumvane_daemon.guarded_server import ListenerGuard
from gypsumvane_daemon.guarded_server import ListenerRules
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.listening_socket import bind_listener
from gypsumvane_daemon.operator_documents import DocumentRoutes
from gypsumvane_daemon.operator_errors import error_middleware
from gypsumvane_daemon.operator_errors import error_response
from gypsumvane_daemon.operator_errors import malformed_response
from gypsumvane_daemon.operator_errors import service_not_running
from gypsumvane_daemon.operator_moves import MoveRoutes
from gypsumvane_daemon.operator_status import StatusRoutes
from gypsumvane_daemon.tls import server_context
from gypsumvane_daemon.typed_error_runner import TypedErrorRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web import AppRunner
    from aiohttp.web import Request

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel

BODY_BYTES_MAX = 2 << 20
STOP_TIMEOUT_S = 5.0


class OperatorApi(Service):
    """Serve the operator API to clients with the bearer token."""

    name = "operators"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock) -> None:
        self._identity = identity
        self._clock = clock
        self._expected_header = f"Bearer {identity.settings.operators.token}".encode()
        self._runner: AppRunner | None = None
        self._kernel: Kernel

    async def start(self, kernel: Kernel) -> None:
        """Open the listener and publish its address."""
        self._kernel = kernel
        app = Application(
            middlewares=[error_middleware, self._require_token],
            client_max_size=BODY_BYTES_MAX,
        )
        DocumentRoutes(self._documents, self._clock).add_to(app.router)
        MoveRoutes(self._documents, kernel).add_to(app.router)
        StatusRoutes(self._identity, kernel).add_to(app.router)
        self._runner = TypedErrorRunner(
            app,
            malformed_response,
            ListenerGuard(kernel.get(ClientService).guard, ListenerRules(self.name)),
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self._runner.setup()
        settings = self._identity.settings.operators
        host, port = split_address(settings.address)
        site = SockSite(
            self._runner,
            bind_listener(host, port),
            ssl_context=server_context(settings.tls),
        )
        await site.start()
        bound_port = self._runner.addresses[0][1]
        bound = f"{host}:{bound_port}"
        self._identity.operator_address = settings.advertised_address or bound

    async def stop(self) -> None:
        """Close the listener after the requests in progress.

        Waits at most STOP_TIMEOUT_S for them.
        """
        if self._runner is not None:
            await self._runner.cleanup()

    @middleware
    async def _require_token(
        self, request: Request, handler: Callable[[Request], Awaitable[StreamResponse]]
    ) -> StreamResponse:
        header = request.headers.get("Authorization", "")
        received_header = header.encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(received_header, self._expected_header):
            return error_response(
                401, "unauthorized", "the bearer token is missing or wrong"
            )
        return await handler(request)

    def _documents(self) -> DocumentService:
        try:
            return self._kernel.get(DocumentService)
        except LookupError as error:
            raise service_not_running(DocumentService.name) from error
