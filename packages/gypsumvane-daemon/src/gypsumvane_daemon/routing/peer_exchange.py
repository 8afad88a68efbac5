"""Pings between daemons: who serves, and the newest configuration."""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from aiohttp.web import Response

from gypsumvane_core.routing.peer_table import DaemonRecord
from gypsumvane_daemon.routing.listener import text_response
from gypsumvane_daemon.routing.ports import StoreUnavailableError
from gypsumvane_daemon.routing.sockets import keepalive_socket

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.peer_table import PeerTable
    from gypsumvane_daemon.routing.ports import Platform
    from gypsumvane_daemon.routing.routing_state import RoutingState
    from gypsumvane_daemon.routing.state_listeners import ConfigListener

logger = logging.getLogger(__name__)

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.9
# The list of daemons in the store is read this often, at a tenth of the price
# of a current read; in between daemons hear of new ones from peers.
LIST_INTERVAL_S = 15.0
REGISTER_RETRY_S = 1.0
PING_PATH = "/v1/ping"
CONFIG_PATH = "/v1/configuration"


class PeerExchange:
    """Ask peers each second and answer them."""

    def __init__(
        self,
        own: DaemonRecord,
        *,
        table: PeerTable,
        state: RoutingState,
        configs: ConfigListener,
        platform: Platform,
        seeds: tuple[str, ...],
        clock: Clock,
    ) -> None:
        self._own = own
        self._table = table
        self._state = state
        self._configs = configs
        self._platform = platform
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._clock = clock
        self._session: ClientSession | None = None
        self._pings: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Register this daemon and ask peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._list())
            group.create_task(self._ping_all())

    async def close(self) -> None:
        """Close the connections to peers."""
        for task in self._pings:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def ping_now(self) -> None:
        """Tell all peers at once, for a change of what this daemon says."""
        known = self._table.asked(self._clock.monotonic_s())
        addresses = {record.peer_address: record.name for record in known}
        for seed in self._seeds if not addresses else ():
            addresses.setdefault(seed, "")
        for address, name in addresses.items():
            task = asyncio.create_task(self._ping(address, name))
            self._pings.add(task)
            task.add_done_callback(self._pings.discard)

    async def handle(self, request: BaseRequest) -> Response:
        """Answer a peer."""
        if request.path == CONFIG_PATH:
            record = self._configs.record
            if record is None:
                return text_response(404, "no configuration yet\n")
            return _json({"name": record.name, "payload": record.payload})
        if request.path != PING_PATH:
            return text_response(404, "unknown path\n")
        try:
            self._hear(json.loads(await request.read()))
        except (ValueError, KeyError, TypeError) as error:
            return text_response(400, f"ping cannot be read: {error}\n")
        return _json(self._say())

    async def _register(self) -> None:
        while True:
            try:
                await self._platform.register_daemon(self._own)
            except StoreUnavailableError as error:
                logger.info("registration failed", extra={"error": str(error)})
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                return

    async def _list(self) -> None:
        while True:
            try:
                records = await self._platform.list_daemons()
            except StoreUnavailableError as error:
                logger.info("daemons not listed", extra={"error": str(error)})
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            now_s = self._clock.monotonic_s()
            for record in records:
                self._table.learn(record, now_s)
            self.ping_now()
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _ping_all(self) -> None:
        while True:
            self.ping_now()
            await asyncio.sleep(PING_INTERVAL_S)

    async def _ping(self, address: str, name: str) -> None:
        try:
            answer = await self._call("POST", address, PING_PATH, self._say())
            self._hear(answer)
        except ClientConnectorError:
            self._table.unreachable(name)
            return
        except (ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
            # Silence is what the table concludes from.
            return
        if int(answer.get("version", 0)) > self._state.version:
            await self._fetch_config(address)

    async def _fetch_config(self, address: str) -> None:
        try:
            answer = await self._call("GET", address, CONFIG_PATH, None)
            record = self._platform.configs.decode(answer["name"], answer["payload"])
        except (ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError):
            logger.info("configuration not fetched", extra={"peer": address})
            return
        if record is not None:
            self._configs.take(record, origin=address)

    async def _call(self, method: str, address: str, path: str, body: Any) -> Any:
        if self._session is None:
            self._session = ClientSession(
                connector=TCPConnector(limit=0, socket_factory=keepalive_socket),
                cookie_jar=DummyCookieJar(),
                timeout=ClientTimeout(total=PING_TIMEOUT_S),
            )
        data = None if body is None else json.dumps(body).encode()
        async with self._session.request(
            method, f"http://{address}{path}", data=data
        ) as response:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return json.loads(await response.read())

    def _say(self) -> dict[str, Any]:
        now_s = self._clock.monotonic_s()
        return {
            "daemon": asdict(self._own),
            "serving": self._state.serving,
            "version": self._state.version,
            "peers": [asdict(record) for record in self._table.serving(now_s)],
        }

    def _hear(self, said: Any) -> None:
        now_s = self._clock.monotonic_s()
        self._table.heard(
            DaemonRecord(**said["daemon"]), serving=bool(said["serving"]), now_s=now_s
        )
        for record in said["peers"]:
            self._table.learn(DaemonRecord(**record), now_s)


def _json(value: Any) -> Response:
    return Response(body=json.dumps(value).encode(), content_type="application/json")
