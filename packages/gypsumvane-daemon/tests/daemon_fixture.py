"""Daemons with only the services that configuration needs, for tests."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from gypsumvane_core.clock import SystemClock
from gypsumvane_core.messages import Heartbeat
from gypsumvane_daemon.document_service import DocumentService
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.operator_api import OperatorApi
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.settings import Settings
from gypsumvane_daemon.store_client import StoreClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_daemon.kernel import Service

TOKEN = "operator-token"
WAIT_S = 10.0
WAIT_STEP_S = 0.005


def settings(vm_id: str, store_address: str) -> Settings:
    """Return settings with short pauses."""
    return Settings.model_validate(
        {
            "vm": {"vm_id": vm_id, "failure_domain": "a"},
            "callers": {"address": "127.0.0.1:0"},
            "peers": {"address": "127.0.0.1:0"},
            "operators": {"address": "127.0.0.1:0", "token": TOKEN},
            "platform": {
                "store_address": store_address,
                "live_list_address": "127.0.0.1:1",
                "store_timeout_ms": 1000,
                "store_watch_wait_ms": 100,
                "store_pause_first_ms": 5,
                "store_pause_max_ms": 20,
                "store_resolve_ms": 150,
            },
        }
    )


class TestDaemon:
    """Run store client, documents, peers and operators' listener."""

    __test__ = False

    def __init__(self, vm_id: str, store_address: str, *others: Service) -> None:
        self.vm_id = vm_id
        self.identity = DaemonIdentity(settings(vm_id, store_address))
        self.metrics = MetricsService()
        self.peers = PeerNetwork(self.identity)
        clock = SystemClock()
        self.store = StoreClient(self.identity, clock=clock, rng=random.Random(1))
        self.documents = DocumentService(
            self.identity, clock=clock, rng=random.Random(2)
        )
        self.operators = OperatorApi(self.identity, clock=clock)
        self.kernel = Kernel()
        for service in (
            self.metrics,
            self.peers,
            self.store,
            self.documents,
            *others,
            self.operators,
        ):
            self.kernel.register(service)

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()

    async def stop(self) -> None:
        """Stop all services."""
        await self.kernel.stop()

    def revision(self, name: str) -> int:
        """Return the applied revision of a document, 0 without one."""
        return self.documents.catalogue.revisions().get(name, 0)


async def connect(daemons: list[TestDaemon]) -> None:
    """Make all daemons peers of each other and wait for the connections."""
    addresses = {daemon.vm_id: daemon.identity.peer_address for daemon in daemons}
    for daemon in daemons:
        others = {k: v for k, v in addresses.items() if k != daemon.vm_id}
        await daemon.peers.set_peers(others)
    await wait_until(
        lambda: all(
            daemon.peers.hello_of(peer) is not None
            for daemon in daemons
            for peer in daemon.peers.peer_ids()
        )
    )


def exchange_heartbeats(daemons: list[TestDaemon]) -> None:
    """Let every daemon receive a heartbeat of every other one."""
    for sender in daemons:
        heartbeat = Heartbeat()
        sender.documents.contribute(heartbeat, "")
        for receiver in daemons:
            if receiver is not sender:
                receiver.documents.receive(heartbeat, sender.vm_id)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; fail after a generous time."""
    for _ in range(round(WAIT_S / WAIT_STEP_S)):
        if condition():
            return
        await asyncio.sleep(WAIT_STEP_S)
    raise AssertionError("condition does not hold")
