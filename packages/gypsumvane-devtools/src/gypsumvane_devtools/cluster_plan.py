"""Configuration of a cluster of real processes."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict

from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import IndexKind
from gypsumvane_core.document_models import LeafModel
from gypsumvane_devtools.answer_oracle import AnswerOracle
from gypsumvane_devtools.leaf_settings import ColdSettings
from gypsumvane_devtools.leaf_settings import LeafSettings
from gypsumvane_devtools.leaf_settings import ListingKind
from gypsumvane_devtools.leaf_settings import ServiceTime
from gypsumvane_devtools.listing import Listing


class PlanModel(BaseModel):
    """Reject unknown keys; base of the plan models."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class IndexPlan(PlanModel):
    """Describe an index by its numbers of services and leaves."""

    name: str
    kind: IndexKind = IndexKind.SEARCH
    services: int
    replicas: int = 2
    # Leaves of `new_version` that each service has beside its replicas.
    new_replicas: int = 0
    new_version: str = "v2"
    slots: int = 2
    connections_max: int = 25
    connect_ms: float = 6.0
    queue_max: int = 8
    non_idempotent: bool = False
    listing: ListingKind = ListingKind.EQUIPMENT
    records: int = 400
    snapshots: list[int] = [1]
    service_time: ServiceTime = ServiceTime()
    cold: ColdSettings = ColdSettings()

    def service_names(self) -> list[str]:
        """Return the names of the services."""
        return [f"{self.name}-{number:02d}" for number in range(self.services)]

    def oracle(self, seed: int) -> AnswerOracle:
        """Return an oracle for searches in the planned snapshots."""
        listing = Listing(self.name, self.listing, self.records, seed)
        maps = {snapshot: self.service_names() for snapshot in self.snapshots}
        return AnswerOracle(listing=listing, partition_maps=maps)

    def leaf_settings(self, domains: list[str], seed: int) -> list[LeafSettings]:
        """Return the simulated leaves; replicas are in different failure domains."""
        names = self.service_names()
        return [
            self._leaf(
                service, replica, domains[(number + replica) % len(domains)], seed
            )
            for number, service in enumerate(names)
            for replica in range(self.replicas + self.new_replicas)
        ]

    def _leaf(self, service: str, replica: int, domain: str, seed: int) -> LeafSettings:
        names = self.service_names()
        return LeafSettings(
            leaf_id=f"{service}-{replica}",
            index=self.name,
            service=service,
            failure_domain=domain,
            version=self.new_version if replica >= self.replicas else "v1",
            listing=self.listing,
            records=self.records,
            seed=seed,
            slots=self.slots,
            queue_max=self.queue_max,
            connections_max=self.connections_max,
            connect_ms=self.connect_ms,
            snapshots=self.snapshots,
            partition_maps={snapshot: names for snapshot in self.snapshots},
            service_time=self.service_time,
            cold=self.cold,
        )

    def document(
        self, leaves: list[LeafSettings], addresses: dict[str, str]
    ) -> IndexDocument:
        """Return the index document for leaves at known addresses."""
        names = self.service_names()
        return IndexDocument(
            name=self.name,
            kind=self.kind,
            non_idempotent=self.non_idempotent,
            leaves=[
                leaf_model(leaf, addresses[leaf.leaf_id])
                for leaf in leaves
                if leaf.index == self.name
            ],
            partition_maps={snapshot: names for snapshot in self.snapshots},
            # The leaves of the new version get no requests before a version move.
            current_version="v1" if self.new_replicas else "",
        )


def leaf_model(leaf: LeafSettings, address: str) -> LeafModel:
    """Return the entry of a leaf in its index document."""
    return LeafModel(
        leaf_id=leaf.leaf_id,
        service=leaf.service,
        failure_domain=leaf.failure_domain,
        address=address,
        version=leaf.version,
        slots=leaf.slots,
        connections_max=leaf.connections_max,
    )


class ProxyPlan(PlanModel):
    """Select the connections that go through the fault-injecting proxy."""

    store: bool = False
    leaves: bool = False
    peers: bool = False

    @property
    def any(self) -> bool:
        """Return whether a proxy is needed."""
        return self.store or self.leaves or self.peers


class DirectRootPlan(PlanModel):
    """Replace the daemons by roots that divide the leaf limits evenly."""

    retries: int = 0


class ClusterPlan(PlanModel):
    """Describe the leaves, daemons, stand-ins and proxies of a cluster."""

    indexes: list[IndexPlan]
    domains: list[str] = ["a", "b", "c", "d"]
    daemons: int = 4
    # Daemons that are prepared but not started.
    spare_daemons: int = 0
    direct_roots: DirectRootPlan | None = None
    seed: int = 1
    fleet: FleetDocument = FleetDocument()
    # Tables of settings that override those generated for each daemon.
    daemon_settings: dict[str, dict[str, Any]] = {}
    store_reads_per_s: float = 2000.0
    store_writes_per_s: float = 500.0
    appear_lag_ms: float = 0.0
    disappear_lag_ms: float = 0.0
    proxies: ProxyPlan = ProxyPlan()

    def domain_of(self, number: int) -> str:
        """Return the failure domain of a daemon."""
        return self.domains[number % len(self.domains)]

    def leaf_settings(self) -> list[LeafSettings]:
        """Return the leaves of all indexes."""
        return [
            leaf
            for index in self.indexes
            for leaf in index.leaf_settings(self.domains, self.seed)
        ]
