"""Daemons that follow a version move, with traffic, heartbeats and faults."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from booking_fleet import FakeMembership
from booking_fleet import LoopClock
from booking_fleet import World
from booking_fleet import settings_of
from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeConflict
from gypsumvane_core.document_change import ChangeOutcome
from gypsumvane_core.document_change import ChangeUnavailable
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.messages import Document
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import Member
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.move_service import MoveService

NAME = "move/ledger"


@dataclass
class StoredMoves:
    """Hold the stored document, with outages and lost answers."""

    document: Document | None = None
    down: bool = False
    states: list[MoveState] = field(default_factory=list)

    def write(self, change: DocumentChange) -> ChangeOutcome:
        """Write when the revision is the expected one."""
        if self.down:
            return ChangeUnavailable(change.change_id, "outage")
        revision = self.document.revision if self.document else 0
        if revision != change.expected_revision:
            return ChangeConflict(change.change_id, revision, "another")
        self.document = Document(
            NAME, revision + 1, change.change_id, change.author, "test", 0, change.body
        )
        self.states.append(MoveDocument.model_validate_json(change.body).state)
        return ChangeAccepted(change.change_id, revision + 1)


class MoveDocuments(Service):
    """Apply the stored document when told."""

    name = "documents"

    def __init__(self, stored: StoredMoves) -> None:
        self.stored = stored
        self.catalogue = DocumentCatalogue()
        self.listeners: list[Any] = []

    async def start(self, kernel: Kernel) -> None:
        self.apply()

    async def stop(self) -> None:
        """Do nothing."""

    def on_change(self, listener: Any) -> None:
        self.listeners.append(listener)

    def apply(self) -> None:
        """Apply the stored revision."""
        document = self.stored.document
        if document is not None and self.catalogue.apply(document):
            for listener in self.listeners:
                listener(document.name)

    async def submit(self, change: DocumentChange) -> ChangeOutcome:
        await asyncio.sleep(3.0 if self.stored.down else 0.01)
        return self.stored.write(change)


class MoveDaemon:
    """Run one move service with its fakes."""

    def __init__(self, fleet: MoveFleet, vm_id: str, incarnation: str) -> None:
        self.identity = DaemonIdentity(settings_of(vm_id), incarnation)
        self.documents = MoveDocuments(fleet.stored)
        self.moves = MoveService(self.identity, clock=LoopClock(), rng=fleet.rng)
        self.kernel = Kernel()
        membership = FakeMembership(fleet.world, vm_id)
        for service in (MetricsService(), self.documents, membership, self.moves):
            self.kernel.register(service)


class MoveFleet:
    """Pass time: traffic every 0.1 s, heartbeats and documents every 0.5 s."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.world = World()
        self.stored = StoredMoves()
        self.daemons: dict[str, MoveDaemon] = {}
        self.apart: set[str] = set()
        self.failing = {"v1": 0.01, "v2": 0.01}
        self.latency_ms = {"v1": 10.0, "v2": 10.0}
        self.routes = ["search", "run"]
        # Routes on which v2 differs; None for all.
        self.bad_routes: list[str] | None = None
        self.sent = {"v1": 0, "v2": 0}
        self.started = 0

    async def start(self, *vm_ids: str) -> None:
        """Start or restart daemons."""
        for vm_id in vm_ids:
            if vm_id in self.daemons:
                await self.daemons[vm_id].kernel.stop()
            self.started += 1
            daemon = MoveDaemon(self, vm_id, f"i{self.started}")
            await daemon.kernel.start()
            self.daemons[vm_id] = daemon
            self.world.members[vm_id] = Member(vm_id, f"i{self.started}")
            self.world.homes.setdefault("*", vm_id)

    async def stop(self) -> None:
        """Stop all daemons."""
        for daemon in self.daemons.values():
            await daemon.kernel.stop()

    def begin_move(self, length_s: float = 30.0, canary: float = 0.1) -> None:
        """Write and apply a move that starts now."""
        now_s = LoopClock().unix_s()
        move = MoveDocument(
            move_id="m1",
            index="ledger",
            from_version="v1",
            to_version="v2",
            start_unix_s=now_s,
            complete_by_unix_s=now_s + length_s,
            canary_share=canary,
        )
        body = move.model_dump_json().encode()
        self.stored.write(DocumentChange(NAME, body, 0, "start", "operator", "test"))
        self.spread()

    def spread(self) -> None:
        """Apply the stored document and exchange heartbeats."""
        for daemon in self.daemons.values():
            if not self.stored.down:
                daemon.documents.apply()
        for sender in self.daemons:
            for receiver in self.daemons:
                if sender != receiver and not self.apart & {sender, receiver}:
                    heartbeat = Heartbeat()
                    self.daemons[sender].moves.contribute(heartbeat, receiver)
                    self.daemons[receiver].moves.receive(heartbeat, sender)

    async def pass_time(self, seconds: float) -> None:
        """Send traffic and heartbeats for some time."""
        for turn in range(int(seconds * 10)):
            for daemon in self.daemons.values():
                for route in self.routes:
                    self._answer(daemon, route)
            await asyncio.sleep(0.1)
            if turn % 5 == 4:
                self.spread()

    def shares(self) -> dict[str, float]:
        """Return the share that each daemon applies."""
        found = {}
        for vm_id, daemon in self.daemons.items():
            status = daemon.moves.status("ledger")
            found[vm_id] = status.share if status else 0.0
        return found

    def _answer(self, daemon: MoveDaemon, route: str) -> None:
        draw = self.rng.random()
        version = daemon.moves.choose_version("ledger", route, draw) or "v1"
        self.sent[version] += 1
        as_version = version
        if self.bad_routes is not None and route not in self.bad_routes:
            as_version = "v1"
        daemon.moves.record(
            "ledger",
            route,
            version,
            failed=self.rng.random() < self.failing[as_version],
            latency_ms=self.latency_ms[as_version] * self.rng.lognormvariate(0, 0.3),
        )
