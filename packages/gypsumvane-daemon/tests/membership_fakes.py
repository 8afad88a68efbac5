"""Fake store, fake live list and daemons for tests of the membership."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web

from daemon_settings import daemon_settings
from fake_service import kernel_of
from gypsumvane_core.clock import SystemClock
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.lifecycle_service import LifecycleService
from gypsumvane_daemon.membership_service import MembershipService
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import PutResult
from gypsumvane_daemon.store_objects import StoredObject
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_S = 0.05


@dataclass(slots=True)
class SharedObjects:
    """Stored objects shared by all daemons of a test."""

    up: bool = True
    lose_next_answer: bool = False
    version: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)


class FakeStore(Service):
    """Object store in memory, backed by the shared objects."""

    name = "store"

    def __init__(self, shared: SharedObjects) -> None:
        self.shared = shared
        self.watching = False
        self._subscribers: list[Callable[[str, bytes | None, int], None]] = []
        self._confirmed: list[Callable[[float], None]] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def get(self, key: str) -> StoredObject | None:
        await asyncio.sleep(0)
        self._require_up()
        return self.shared.objects.get(key)

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        await asyncio.sleep(0)
        self._require_up()
        known = self.shared.objects.get(key)
        if (None if known is None else known.version) != expected_version:
            return Conflict()
        self.shared.version += 1
        version = self.shared.version
        self.shared.objects[key] = StoredObject(key, value, version)
        if self.shared.lose_next_answer:
            self.shared.lose_next_answer = False
            raise StoreError("answer was lost", may_have_applied=True)
        return Written(version)

    def subscribe(
        self, prefix: str, listener: Callable[[str, bytes | None, int], None]
    ) -> None:
        self._subscribers.append(listener)

    def on_confirmed(self, listener: Callable[[float], None]) -> None:
        self._confirmed.append(listener)

    def set_watching(self, watching: bool) -> None:
        self.watching = watching

    def _require_up(self) -> None:
        if not self.shared.up:
            raise StoreError("store is down", may_have_applied=False)

    async def _watch(self) -> None:
        clock = SystemClock()
        while True:
            sent_at_s = clock.monotonic_s()
            if self.watching and self.shared.up:
                for key, stored in self.shared.objects.items():
                    for listener in self._subscribers:
                        listener(key, stored.value, stored.version)
                for confirmed in self._confirmed:
                    confirmed(sent_at_s)
            await asyncio.sleep(WATCH_S)


class FakeLiveList:
    """Serve the live list of VMs over HTTP."""

    def __init__(self) -> None:
        self.listing = 0
        self.vm_ids: list[str] = []
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/v1/vms", self._answer)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def set(self, *vm_ids: str) -> None:
        self.vm_ids = list(vm_ids)
        self.listing += 1

    async def _answer(self, _: web.Request) -> web.Response:
        vms = [{"vm_id": vm, "state": "live"} for vm in self.vm_ids]
        return web.json_response({"listing": self.listing, "vms": vms})


class TestDaemon:
    """Daemon with the services that the membership needs."""

    def __init__(
        self, vm_id: str, *, shared: SharedObjects, live_list: str, seeds: list[str]
    ) -> None:
        membership = {
            "heartbeat_interval_ms": 50,
            # All daemons of a test share one event loop. One of its iterations
            # can take more than 100 ms on a loaded machine.
            "suspect_after_ms": 1000,
            "confirmation_validity_ms": 600,
            "leaf_call_max_ms": 50,
            "takeover_margin_ms": 50,
            "seed_addresses": seeds,
        }
        settings = daemon_settings(
            vm_id,
            vm={"failure_domain": "fd-a"},
            platform={"live_list_address": live_list, "live_list_interval_ms": 50},
            membership=membership,
            entry={"keep_ms": 100},
        )
        self.identity = DaemonIdentity(settings=settings)
        self.identity.caller_address = f"127.0.0.1:{9000 + int(vm_id[-1])}"
        self.metrics = MetricsService()
        self.network = PeerNetwork(self.identity)
        self.store = FakeStore(shared)
        clock = SystemClock()
        self.membership = MembershipService(
            self.identity, clock=clock, rng=random.Random(1)
        )
        self.lifecycle = LifecycleService(self.identity, clock=clock)
        self.kernel = kernel_of(
            self.metrics,
            self.network,
            self.store,
            self.membership,
            self.lifecycle,
        )

    async def start(self) -> None:
        await self.kernel.start()

    async def stop(self) -> None:
        await self.kernel.stop()
