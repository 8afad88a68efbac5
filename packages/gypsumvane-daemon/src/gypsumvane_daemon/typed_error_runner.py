"""HTTP server that answers malformed requests with the API's typed errors."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aiohttp.web import AppRunner
from aiohttp.web import HTTPException
from aiohttp.web import Server

from gypsumvane_daemon.guarded_server import GuardedRequestHandler
from gypsumvane_daemon.guarded_server import GuardedServer
from gypsumvane_daemon.guarded_server import ListenerGuard

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web import Application
    from aiohttp.web import BaseRequest
    from aiohttp.web import Response
    from aiohttp.web import StreamResponse

    ErrorReply = Callable[[int], Response]


class TypedErrorRunner(AppRunner):
    """Run an application and answer unparsable requests with typed errors.

    Requests that aiohttp cannot parse reach no middleware. aiohttp would answer
    them with plain text that echoes their bytes and log a stack trace for each.
    """

    def __init__(
        self,
        app: Application,
        error_reply: ErrorReply,
        listener: ListenerGuard,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._listener = listener
        self._error_reply = error_reply

    async def _make_server(self) -> Server:
        server = await super()._make_server()
        return _TypedErrorServer(self._error_reply, self._listener, server)


class _TypedErrorServer(GuardedServer):
    def __init__(
        self, error_reply: ErrorReply, listener: ListenerGuard, server: Server
    ) -> None:
        super().__init__(
            self._handle,
            listener,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self.error_reply = error_reply
        self._application_handler = server.request_handler

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        try:
            return await self._application_handler(request)
        except HTTPException as error:
            # aiohttp rejects an unsupported Expect header before any middleware runs.
            return self.error_reply(error.status)

    def __call__(self) -> GuardedRequestHandler:
        return _TypedErrorHandler(self, loop=self._loop, **self._kwargs)


class _TypedErrorHandler(GuardedRequestHandler):
    def __init__(self, server: _TypedErrorServer, **options: Any) -> None:
        super().__init__(server, **options)
        self._error_reply = server.error_reply

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> Response:
        if status >= 500:
            self.log_exception("request failed outside its handler", exc_info=exc)
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already been sent in part")
        response = self._error_reply(status)
        response.force_close()
        return response
