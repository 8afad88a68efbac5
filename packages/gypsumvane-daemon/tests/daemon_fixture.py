"""Test daemons with the services that configuration documents need."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

from daemon_settings import daemon_settings
from fake_service import kernel_of
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.messages import Heartbeat
from gypsumvane_daemon.document_service import DocumentService
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.operator_api import OperatorApi
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.store_client import StoreClient
from waiting import wait_until

if TYPE_CHECKING:
    from gypsumvane_daemon.kernel import Service
    from gypsumvane_daemon.settings import Settings


def settings(vm_id: str, store_address: str, **changes: dict[str, Any]) -> Settings:
    """Return settings with short timeouts and backoff."""
    platform = {
        "store_address": store_address,
        "store_timeout_ms": 1000,
        "store_watch_wait_ms": 100,
        "store_pause_first_ms": 5,
        "store_pause_max_ms": 20,
        "store_resolve_ms": 150,
    }
    return daemon_settings(vm_id, platform=platform, **changes)


class TestDaemon:
    """Daemon with store client, documents, peers and operator listener."""

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
        self.kernel = kernel_of(
            self.metrics,
            self.peers,
            self.store,
            self.documents,
            *others,
            self.operators,
        )

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
    """Connect all daemons to each other and wait for the connections."""
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
    """Deliver a heartbeat of every daemon to every other one."""
    for sender in daemons:
        heartbeat = Heartbeat()
        sender.documents.contribute(heartbeat, "")
        for receiver in daemons:
            if receiver is not sender:
                receiver.documents.receive(heartbeat, sender.vm_id)
