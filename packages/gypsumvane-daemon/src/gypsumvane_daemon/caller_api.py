"""HTTP listener for callers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import cast

from aiohttp import web

from gypsumvane_core.query_answer import AnswerOutcome
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.admission_service import AdmissionRefused
from gypsumvane_daemon.caller_error import CallerError
from gypsumvane_daemon.caller_headers import REQUEST_ID
from gypsumvane_daemon.caller_headers import read_token
from gypsumvane_daemon.caller_replies import error_reply
from gypsumvane_daemon.caller_routes import REQUEST_ID_KEY
from gypsumvane_daemon.caller_routes import CallerDependencies
from gypsumvane_daemon.caller_routes import CallerRoutes
from gypsumvane_daemon.client_service import ClientService
from gypsumvane_daemon.guarded_server import IDLE_TIMEOUT_S
from gypsumvane_daemon.guarded_server import ListenerGuard
from gypsumvane_daemon.guarded_server import ListenerRules
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.listening_socket import bind_listener
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.tls import server_context
from gypsumvane_daemon.typed_error_runner import TypedErrorRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.caller_ports import AdmissionPort
    from gypsumvane_daemon.caller_ports import BookingsPort
    from gypsumvane_daemon.caller_ports import EntryPort
    from gypsumvane_daemon.caller_ports import GatewayPort
    from gypsumvane_daemon.caller_ports import LifecyclePort
    from gypsumvane_daemon.client_guard import ClientGuard
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

logger = logging.getLogger(__name__)

SERVING = "serving"
BODY_BYTES_MAX = 64 << 10
# Keep-alive connections stay open this long after the listening socket is closed,
# so that requests already in transit are still answered.
IDLE_GRACE_S = 0.5
# Exceeds the maximum deadline of a caller's request (DEADLINE_MS_MAX).
STOP_TIMEOUT_S = 65.0


class CallerApi(Service):
    """Serve the HTTP API for callers."""

    name = "callers"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock) -> None:
        self._identity = identity
        self._clock = clock
        self._runner: web.AppRunner | None = None
        self._site: web.SockSite | None = None
        self._request_count = 0
        self._in_progress = 0
        self._metrics: MetricsService
        self._guard: ClientGuard
        self._lifecycle: LifecyclePort
        self._stopping = False
        self._runs: set[asyncio.Task[web.Response]] = set()

    async def start(self, kernel: Kernel) -> None:
        """Resolve dependencies and start listening."""
        self._metrics = kernel.get(MetricsService)
        self._lifecycle = cast("LifecyclePort", kernel.find("lifecycle"))
        routes = CallerRoutes(
            CallerDependencies(
                clock=self._clock,
                failure_domain=self._identity.failure_domain,
                admission=cast("AdmissionPort", kernel.find("admission")),
                gateway=cast("GatewayPort", kernel.find("gateway")),
                bookings=cast("BookingsPort", kernel.find("bookings")),
                lifecycle=self._lifecycle,
                entry=cast("EntryPort", kernel.find("membership")),
            )
        )
        self._runs = routes.runs
        self._guard = kernel.get(ClientService).guard
        self._lifecycle.add_idle_check(self._is_idle)
        await self._listen(self._build_app(routes))

    async def stop(self) -> None:
        """Stop listening, then finish every request that has arrived."""
        if self._runner is None or self._site is None:
            return
        self._stopping = True
        await self._site.stop()
        server = self._runner.server
        if server is not None and server.connections:
            await asyncio.sleep(IDLE_GRACE_S)
        await self._runner.cleanup()
        self._runner = None
        await asyncio.gather(*self._runs, return_exceptions=True)

    def _is_idle(self) -> bool:
        return self._in_progress == 0 and not self._runs

    def _build_app(self, routes: CallerRoutes) -> web.Application:
        app = web.Application(
            client_max_size=BODY_BYTES_MAX, middlewares=[self._middleware]
        )
        app.router.add_post("/v1/indexes/{index}/search", routes.search)
        app.router.add_post("/v1/indexes/{index}/lookup", routes.lookup)
        app.router.add_post("/v1/indexes/{index}/run", routes.run)
        app.router.add_post("/v1/idempotency-keys", routes.reserve_keys)
        app.router.add_get("/v1/entry-addresses", routes.entry_addresses)
        app.router.add_get("/v1/ready", routes.ready)
        return app

    async def _listen(self, app: web.Application) -> None:
        settings = self._identity.settings.callers
        host, port = split_address(settings.address)
        self._runner = TypedErrorRunner(
            app,
            self._malformed_response,
            ListenerGuard(
                self._guard, ListenerRules(self.name, request_id_header=REQUEST_ID)
            ),
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
            # Cancels a search or lookup when its caller disconnects.
            handler_cancellation=True,
        )
        await self._runner.setup()
        self._site = web.SockSite(
            self._runner,
            bind_listener(host, port),
            ssl_context=server_context(settings.tls),
        )
        await self._site.start()
        bound = self._runner.addresses[0]
        self._identity.caller_address = (
            settings.advertised_address or f"{host}:{bound[1]}"
        )

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self._in_progress += 1
        try:
            response = await self._answer(request, handler)
        finally:
            self._in_progress -= 1
        if self._stopping or self._lifecycle.state.value != SERVING:
            # Makes callers with keep-alive connections reconnect elsewhere.
            response.force_close()
        return response

    async def _answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request_id = ""
        try:
            request_id = read_token(request.headers, REQUEST_ID) or self._new_id()
            request[REQUEST_ID_KEY] = request_id
            response = await handler(request)
        except asyncio.CancelledError:
            self._metrics.count("caller_disconnects", route=route_name(request))
            raise
        except Exception as error:
            response = self._error_response(error, request_id)
        if request_id:
            response.headers[REQUEST_ID] = request_id
        return response

    def _new_id(self) -> str:
        self._request_count += 1
        return f"{self._identity.incarnation}.{self._request_count}"

    def _malformed_response(self, status: int) -> web.Response:
        message = "the HTTP request is malformed or not supported"
        return self._refuse("", Reason.BAD_REQUEST, message, status)

    def _error_response(self, error: Exception, request_id: str) -> web.Response:
        if isinstance(error, CallerError):
            return self._refuse(request_id, error.reason, error.message, error.status)
        if isinstance(error, web.HTTPException):
            return self._refuse(
                request_id, Reason.BAD_REQUEST, error.reason, error.status
            )
        if isinstance(error, AdmissionRefused):
            return self._refuse(request_id, error.reason, error.message)
        logger.error(
            "caller request failed; answering with internal_error",
            exc_info=error,
        )
        self._metrics.count("caller_requests_failed", reason=Reason.INTERNAL_ERROR)
        return error_reply(
            request_id=request_id,
            reason=Reason.INTERNAL_ERROR,
            message="internal error",
            verdict=Verdict.MAY_HAVE_RUN,
            outcome=AnswerOutcome.FAILED,
        )

    def _refuse(
        self,
        request_id: str,
        reason: Reason,
        message: str,
        status: int | None = None,
    ) -> web.Response:
        self._metrics.count("caller_requests_refused", reason=reason)
        return error_reply(
            request_id=request_id, reason=reason, message=message, status=status
        )


def route_name(request: web.Request) -> str:
    """Return the last path segment of the matched route, or ``unknown``."""
    resource = request.match_info.route.resource
    return resource.canonical.rpartition("/")[2] if resource is not None else "unknown"
