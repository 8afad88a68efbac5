"""Fakes of the services that the root role depends on."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from daemon_settings import daemon_settings
from fake_service import FakeService
from fake_service import kernel_of
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.index_routes import MoveChoice
from gypsumvane_core.messages import Cancel
from gypsumvane_core.messages import Document
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialRequest
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_daemon.gateway_service import GatewayService
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterable

OWN_VM = "vm-own"


class FakeDocuments(FakeService):
    """Hold documents that a test applies."""

    name = "documents"

    def __init__(self) -> None:
        self.catalogue = DocumentCatalogue()
        self.ready = True
        self._listeners: list[Callable[[str], None]] = []

    def on_change(self, listener: Callable[[str], None]) -> None:
        self._listeners.append(listener)

    def apply(self, name: str, body: dict[str, Any]) -> None:
        known = self.catalogue.get(name)
        revision = known.revision + 1 if known is not None else 1
        document = Document(
            name=name,
            revision=revision,
            change_id=f"{name}-{revision}",
            author="test",
            reason="test",
            accepted_unix_ms=0,
            body=json.dumps(body).encode(),
        )
        self.catalogue.apply(document)
        for listener in self._listeners:
            listener(name)


@dataclass
class FakeMembership(FakeService):
    """Assign leaves to homes by the last letter of their identifier."""

    name = "membership"
    homes: dict[str, str | None] = field(default_factory=dict)

    def home_of(self, leaf_id: str) -> str | None:
        return self.homes.get(leaf_id, f"vm-{leaf_id[-1]}")


class FakeBriefs:
    """Hold briefs that a test sets."""

    def __init__(self) -> None:
        self.briefs: dict[str, UpstreamBrief] = {}

    def get(self, leaf_id: str) -> UpstreamBrief | None:
        return self.briefs.get(leaf_id)

    def update(self, brief: UpstreamBrief) -> bool:
        self.briefs[brief.leaf_id] = brief
        return True


@dataclass
class FakeLeaf:
    """Answer like a leaf at its home."""

    body: bytes = b'{"hits": [], "total": 0}'
    delay_s: float = 0.0
    kind: str = "answered"
    verdict: str = "ran"
    reason: str = ""
    snapshot: int | None = None
    # Modifies a result before it is returned; returning None drops it.
    alter: Callable[[PartialResult], PartialResult | None] | None = None
    asked: int = 0

    async def ask(
        self, batch: PartialBatch, request: PartialRequest
    ) -> PartialResult | None:
        self.asked += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        result = PartialResult(
            query_id=batch.query_id,
            attempt_id=request.attempt_id,
            service=request.service,
            leaf_id=request.leaf_id,
            kind=self.kind,
            verdict=self.verdict,
            reason=self.reason,
            snapshot=batch.snapshot if self.snapshot is None else self.snapshot,
            body=self.body,
        )
        return self.alter(result) if self.alter is not None else result


class FakeUpstreams(FakeService):
    """Hold the leaves of all homes."""

    name = "upstreams"

    def __init__(self) -> None:
        self.briefs = FakeBriefs()
        self.leaves: dict[str, FakeLeaf] = {}
        self.cancelled: list[int] = []

    async def run_partial(
        self, batch: PartialBatch, request: PartialRequest
    ) -> PartialResult:
        result = await self.leaves[request.leaf_id].ask(batch, request)
        assert result is not None
        return result

    def cancel(self, query_id: str, attempt_ids: Iterable[int]) -> None:
        self.cancelled += attempt_ids


class FakePeers(FakeService):
    """Stand in for the homes on other daemons."""

    name = "peers"

    def __init__(self, upstreams: FakeUpstreams) -> None:
        self._upstreams = upstreams
        self.batches: list[tuple[str, PartialBatch]] = []
        self.cancels: list[tuple[str, Cancel]] = []
        # Homes without a connection.
        self.missing: set[str] = set()
        # Homes whose connection is lost after the batch was sent.
        self.lost: set[str] = set()

    def notify(self, vm_id: str, message: Any) -> None:
        self.cancels.append((vm_id, message))

    async def stream(self, vm_id: str, message: Any) -> AsyncIterator[Any]:
        if vm_id in self.missing:
            raise PeerError("no connection", sent=False)
        self.batches.append((vm_id, message))
        if vm_id in self.lost:
            raise PeerError("connection lost", sent=True)
        work = [
            self._upstreams.leaves[request.leaf_id].ask(message, request)
            for request in message.requests
        ]
        if not any(
            self._upstreams.leaves[request.leaf_id].delay_s
            for request in message.requests
        ):
            results = [await ask for ask in work]
            yield PartialResults(results=[r for r in results if r is not None])
            return
        for next_done in asyncio.as_completed(work):
            result = await next_done
            if result is not None:
                yield PartialResults(results=[result])


class FakeMoves(FakeService):
    """Choose no version unless a test sets one."""

    name = "moves"

    def __init__(self) -> None:
        self.choice = MoveChoice()
        self.asked = 0
        self.recorded: list[tuple[str, bool]] = []

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        self.asked += 1
        return self.choice

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        self.recorded.append((version, failed))


def hits_body(*hits: tuple[str, float]) -> bytes:
    """Build the body of a partial search result."""
    return json.dumps(
        {
            "hits": [{"id": hit_id, "score": score} for hit_id, score in hits],
            "total": len(hits),
        }
    ).encode()


def index_body(
    name: str = "stock",
    *,
    kind: str = "search",
    services: int = 3,
    snapshots: Iterable[int] = (1,),
) -> dict[str, Any]:
    """Describe an index with the leaves `<service>-a` and `<service>-b`."""
    names = [f"s{number}" for number in range(services)]
    return {
        "name": name,
        "kind": kind,
        "leaves": [
            {
                "leaf_id": f"{service}-{replica}",
                "service": service,
                "failure_domain": replica,
                "address": "127.0.0.1:9",
            }
            for service in names
            for replica in ("a", "b")
        ],
        "partition_maps": {snapshot: names for snapshot in snapshots},
    }


class GatewayFixture:
    """Set up a gateway with fake services."""

    def __init__(self) -> None:
        self.metrics = MetricsService()
        self.documents = FakeDocuments()
        self.membership = self.make_membership()
        self.upstreams = FakeUpstreams()
        self.peers = FakePeers(self.upstreams)
        self.moves = FakeMoves()
        self.clock = SystemClock()
        self.identity = DaemonIdentity(settings=daemon_settings(OWN_VM))
        self.gateway = GatewayService(
            self.identity, clock=self.clock, rng=random.Random(5)
        )
        self.kernel = kernel_of(
            self.metrics,
            self.peers,
            self.documents,
            self.membership,
            self.upstreams,
            self.moves,
            self.gateway,
        )

    def make_membership(self) -> FakeMembership:
        return FakeMembership()

    def apply_index(self, body: dict[str, Any], *, limit: int = 2) -> None:
        self.documents.apply(f"index/{body['name']}", body)
        for leaf in body["leaves"]:
            leaf_id = leaf["leaf_id"]
            self.upstreams.leaves.setdefault(leaf_id, FakeLeaf())
            self.upstreams.briefs.briefs[leaf_id] = UpstreamBrief(
                leaf_id=leaf_id,
                state="warm",
                limit=limit,
                snapshots=list(body["partition_maps"]),
            )

    def asked(self) -> int:
        return sum(leaf.asked for leaf in self.upstreams.leaves.values())

    def leaves_of(self, service: str) -> list[FakeLeaf]:
        return [self.upstreams.leaves[f"{service}-{r}"] for r in ("a", "b")]
