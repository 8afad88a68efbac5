"""Pings between daemons, which carry liveness and the configuration version."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.entry_selection import select_entries
from gypsumvane_core.routing.peer_table import ServingDaemon
from gypsumvane_daemon.routing.listener import json_response
from gypsumvane_daemon.routing.listener import text_response
from gypsumvane_daemon.routing.peer_client import PeerError
from gypsumvane_daemon.routing.ports import StoreUnavailableError

if TYPE_CHECKING:
    from random import Random

    from aiohttp.web import BaseRequest
    from aiohttp.web import Response

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.pause_detector import PauseDetector
    from gypsumvane_core.routing.peer_table import PeerTable
    from gypsumvane_daemon.routing.move_exchange import MoveExchange
    from gypsumvane_daemon.routing.peer_client import PeerClient
    from gypsumvane_daemon.routing.ports import Platform
    from gypsumvane_daemon.routing.routing_state import RoutingState
    from gypsumvane_daemon.routing.state_listeners import ConfigListener

logger = logging.getLogger(__name__)

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.9
# Interval at which the list of daemons is read from the store. The read may be stale,
# which costs a tenth of a current one; in between, peers report new daemons.
LIST_INTERVAL_S = 20.0
REGISTER_RETRY_S = 1.0
# Bounds of the pause after a list of daemons that failed, for a daemon that knows
# peers. They report new daemons, and the whole fleet asks the same store.
LIST_RETRY_MIN_S = 4.0
LIST_RETRY_MAX_S = 12.0
# Wait before the first list when the whole system starts for the first time, so that
# all daemons have registered and the list names the hubs.
FIRST_START_WAIT_S = 1.5
PING_PATH = "/v1/ping"
CONFIG_PATH = "/v1/configuration"


class PeerExchange:
    """Ping the hubs every second and answer pings of peers."""

    def __init__(
        self,
        own: DaemonRecord,
        *,
        table: PeerTable,
        state: RoutingState,
        configs: ConfigListener,
        moves: MoveExchange,
        platform: Platform,
        client: PeerClient,
        seeds: tuple[str, ...],
        pauses: PauseDetector,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._own = own
        self._table = table
        self._state = state
        self._configs = configs
        self._moves = moves
        self._platform = platform
        self._client = client
        # Peer addresses that may be stale and include this daemon's own.
        self.seeds = seeds
        self._pauses = pauses
        self._clock = clock
        self._rng = rng
        self._pings: set[asyncio.Task[None]] = set()
        # Set after the first attempt to list the daemons, which names the hubs.
        self.listed = asyncio.Event()
        # Set when the store may have lost the record of this daemon.
        self._unregistered = asyncio.Event()

    async def run(self, *, first_start: bool) -> None:
        """Register this daemon and exchange pings until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._list(first_start=first_start))
            group.create_task(self._ping_all())

    def register_again(self) -> None:
        """Store the record of this daemon again, which the store may have lost."""
        self._unregistered.set()

    def cancel_pings(self) -> None:
        """Cancel the pings in progress."""
        for task in self._pings:
            task.cancel()

    def ping_now(self) -> None:
        """Ping the hubs at once, for instance after a change of the own status."""
        known = self._table.ping_targets(self._clock.monotonic_s())
        addresses = {record.peer_address: record.name for record in known}
        if not addresses:
            addresses = dict.fromkeys(self.seeds, "")
            addresses.pop(self._own.peer_address, None)
        status = self._own_status()
        for address, name in addresses.items():
            task = asyncio.create_task(self._ping(address, name, status))
            self._pings.add(task)
            task.add_done_callback(self._pings.discard)

    async def handle_ping(self, request: BaseRequest) -> Response:
        """Record the status in a ping and answer with this daemon's own status."""
        # Pings that were sent to a paused process are read when it resumes.
        now_s = self._clock.monotonic_s()
        sent_s = now_s - self._pauses.waited_s(now_s)
        try:
            self._record_status(decode_json(await request.read()), sent_s)
        except (ValueError, KeyError, TypeError) as error:
            return text_response(400, f"ping cannot be read: {error}\n")
        return json_response(self._own_status())

    async def handle_config(self, request: BaseRequest) -> Response:
        """Answer with the configuration in force."""
        record = self._configs.record
        if record is None:
            return text_response(404, "no configuration yet\n")
        return json_response({"name": record.name, "payload": record.payload})

    async def _register(self) -> None:
        while True:
            self._unregistered.clear()
            try:
                await self._platform.register_daemon(self._own)
            except StoreUnavailableError as error:
                logger.info(
                    "daemon registration failed, retrying", extra={"error": str(error)}
                )
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            await self._unregistered.wait()

    async def _list(self, *, first_start: bool) -> None:
        if first_start:
            await asyncio.sleep(FIRST_START_WAIT_S)
        while True:
            try:
                records = await self._platform.list_daemons()
            except StoreUnavailableError as error:
                logger.info(
                    "daemons could not be listed, retrying", extra={"error": str(error)}
                )
                self.listed.set()
                await asyncio.sleep(self._list_retry_s())
                continue
            now_s = self._clock.monotonic_s()
            for record in records:
                self._table.add_reported(record, now_s)
            self.listed.set()
            self.ping_now()
            await asyncio.sleep(LIST_INTERVAL_S)

    def _list_retry_s(self) -> float:
        """Return the pause after a list of daemons that failed.

        Load: the store fails, and hundreds of daemons would ask it each second.
        """
        if self._table.present(self._clock.monotonic_s()):
            return self._rng.uniform(LIST_RETRY_MIN_S, LIST_RETRY_MAX_S)
        return REGISTER_RETRY_S

    async def _ping_all(self) -> None:
        while True:
            self.ping_now()
            await asyncio.sleep(PING_INTERVAL_S)

    async def _ping(self, address: str, name: str, status: dict[str, Any]) -> None:
        begun_s = self._clock.monotonic_s()
        try:
            answer = await self._client.call(
                "POST", address, PING_PATH, body=status, timeout_s=PING_TIMEOUT_S
            )
            now_s = self._clock.monotonic_s()
            sent_s = now_s - self._pauses.waited_s(now_s)
            self._record_status(answer, max(begun_s, sent_s))
            version = int(answer["version"])
        except PeerError as error:
            # The table detects silent peers by the age of their last ping.
            if error.refused and name:
                self._table.mark_unreachable(name)
            return
        except (ValueError, KeyError, TypeError) as error:
            logger.warning(
                "ping answer is malformed, ignoring it",
                extra={"peer": address, "error": str(error)},
            )
            return
        if version > self._state.version:
            await self._fetch_config(address)

    async def _fetch_config(self, address: str) -> None:
        try:
            answer = await self._client.call(
                "GET", address, CONFIG_PATH, timeout_s=PING_TIMEOUT_S
            )
            record = self._platform.configs.decode(answer["name"], answer["payload"])
        except (PeerError, KeyError, TypeError) as error:
            logger.info(
                "configuration could not be fetched, keeping the current one",
                extra={"peer": address, "error": str(error)},
            )
            return
        if record is not None:
            self._configs.apply(record, origin=address)

    def _own_status(self) -> dict[str, Any]:
        """Return the content of a ping.

        A hub adds the entry daemons among the peers whose own pings say that they
        serve.
        """
        now_s = self._clock.monotonic_s()
        reported: list[ServingDaemon] = []
        is_hub = self._table.is_hub(now_s)
        if is_hub:
            direct = self._table.serving_by_ping(now_s)
            chosen = {
                record.name
                for record in select_entries(entry.record for entry in direct)
            }
            reported = [entry for entry in direct if entry.record.name in chosen]
        return {
            "daemon": asdict(self._own),
            "serving": self._state.serving,
            "version": self._state.version,
            "told": [asdict(entry) for entry in reported],
            "moves": self._moves.outgoing(forward=is_hub),
        }

    def _record_status(self, status: Any, sent_s: float) -> None:
        """Record the status that a peer sent at a time."""
        record = DaemonRecord(**status["daemon"])
        self._table.record_ping(record, serving=bool(status["serving"]), now_s=sent_s)
        reported = [
            ServingDaemon(DaemonRecord(**entry["record"]), float(entry["age_s"]))
            for entry in status["told"]
        ]
        self._table.record_hub_report(record.name, reported, sent_s)
        self._moves.receive(status["moves"], sent_s)
