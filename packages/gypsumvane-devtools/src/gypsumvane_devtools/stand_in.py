"""Shared server functions of the stand-ins."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import TYPE_CHECKING
from typing import Any

import uvloop
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 1.0


def announce(**values: Any) -> None:
    """Print one JSON line with the address, for the parent process."""
    print(json.dumps(values), flush=True)


def format_address(socket_name: tuple[Any, ...]) -> str:
    """Return `host:port` of a socket name."""
    return f"{socket_name[0]}:{socket_name[1]}"


async def start_site(app: web.Application, address: str) -> tuple[web.AppRunner, str]:
    """Serve an application and return its runner and bound address."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner, format_address(runner.addresses[0])


async def wait_for_stop() -> None:
    """Return after SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def serve(name: str, app: web.Application, address: str) -> None:
    """Serve one application, announce it and wait for the stop signal."""
    runner, bound = await start_site(app, address)
    announce(name=name, address=bound)
    await wait_for_stop()
    await runner.cleanup()


def run(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the main coroutine and exit with status 0."""
    uvloop.run(main())
    sys.exit(0)


async def json_body(request: web.BaseRequest) -> dict[str, Any]:
    """Return the JSON object of a control request.

    Raises HTTPBadRequest when the body is something else.
    """
    try:
        value = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise web.HTTPBadRequest(text="body is not JSON") from error
    if not isinstance(value, dict):
        raise web.HTTPBadRequest(text="body is not a JSON object")
    return value
