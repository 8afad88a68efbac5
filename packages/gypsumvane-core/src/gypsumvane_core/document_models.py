"""Models of the bodies of configuration documents."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")
]
ReasonText = Annotated[str, Field(min_length=3, max_length=500)]


class DocumentModel(BaseModel):
    """Base of the models: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Policy(DocumentModel):
    """Hold the limits, budgets and timeouts that apply to requests of an index."""

    deadline_ms: int = Field(default=1000, ge=10, le=60_000)
    answer_margin_ms: int = Field(default=15, ge=1, le=1000)
    leaf_call_max_ms: int = Field(default=1000, ge=10, le=10_000)
    hedge_quantile: float = Field(default=0.95, ge=0.5, le=0.999)
    hedge_min_ms: int = Field(default=5, ge=1, le=10_000)
    hedge_budget_share: float = Field(default=0.05, ge=0, le=1)
    extra_budget_share: float = Field(default=0.10, ge=0, le=1)
    root_in_flight_max: int = Field(default=256, ge=1, le=100_000)
    root_queue_max: int = Field(default=512, ge=0, le=100_000)
    leaf_queue_max: int = Field(default=64, ge=0, le=10_000)
    cold_concurrency: int = Field(default=1, ge=1, le=1000)
    cold_spacing_ms: int = Field(default=50, ge=0, le=10_000)
    warm_good_answers: int = Field(default=20, ge=1, le=100_000)
    # Longest time for which a status report of "cold" keeps the limit from growing.
    cold_report_hold_ms: int = Field(default=10_000, ge=0, le=600_000)
    canary_share: float = Field(default=0.02, gt=0, le=0.5)
    page_size_max: int = Field(default=100, ge=1, le=10_000)
    # Good answers of a new version needed on each route to end its canary phase.
    move_good_answers: int = Field(default=20, ge=1, le=100_000)
    # How long a repeated idempotency key is recognised.
    claim_retention_s: int = Field(default=3600, ge=60, le=604_800)


class PolicyException(DocumentModel):
    """Override policy keys for one index, service or leaf."""

    scope: Annotated[str, Field(pattern=r"^(index|service|leaf):.+$")]
    values: dict[str, int | float]
    reason: ReasonText

    @model_validator(mode="after")
    def _check_values(self) -> PolicyException:
        unknown = sorted(set(self.values) - set(Policy.model_fields))
        if unknown:
            raise ValueError(f"unknown policy keys: {', '.join(unknown)}")
        Policy.model_validate(self.values)
        return self


class FleetDocument(DocumentModel):
    """Hold the default policy of the fleet and its exceptions."""

    defaults: Policy = Policy()
    exceptions: list[PolicyException] = []

    def policy(self, *, index: str, service: str = "", leaf: str = "") -> Policy:
        """Return the policy with exceptions applied; the narrowest scope wins."""
        merged = self.defaults.model_dump()
        for scope in (f"index:{index}", f"service:{service}", f"leaf:{leaf}"):
            for exception in self.exceptions:
                if exception.scope == scope:
                    merged.update(exception.values)
        return Policy.model_validate(merged)


class DomainOut(DocumentModel):
    """Record a failure domain that is taken out."""

    failure_domain: Name
    reason: ReasonText
    author: str = ""
    since_unix_s: float = 0.0


class DomainsDocument(DocumentModel):
    """List the failure domains that are taken out."""

    out: list[DomainOut] = []

    def out_names(self) -> frozenset[str]:
        """Return the names of the failure domains taken out."""
        return frozenset(entry.failure_domain for entry in self.out)


class IndexKind(StrEnum):
    """Name how requests are routed: to all services, or to the one with the key."""

    SEARCH = "search"
    LOOKUP = "lookup"


class LeafModel(DocumentModel):
    """Describe one upstream process."""

    leaf_id: Name
    service: Name
    failure_domain: Name
    address: Address
    version: Name = "v1"
    slots: int = Field(default=2, ge=1, le=10_000)
    connections_max: int = Field(default=25, ge=1, le=100_000)
    leaving: bool = False


class IndexDocument(DocumentModel):
    """Describe the services and leaves of an index."""

    name: Name
    kind: IndexKind
    non_idempotent: bool = False
    # Only leaves of this version get requests while no move runs; empty: all leaves.
    current_version: str = Field(default="", pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?$")
    leaves: list[LeafModel]
    # Maps a snapshot number to the services that hold a part of it.
    partition_maps: dict[int, list[Name]]

    @model_validator(mode="after")
    def _check_services(self) -> IndexDocument:
        known = {leaf.service for leaf in self.leaves}
        for snapshot, services in self.partition_maps.items():
            missing = sorted(set(services) - known)
            if missing:
                raise ValueError(
                    f"snapshot {snapshot} names services without leaves: {missing}"
                )
        ids = [leaf.leaf_id for leaf in self.leaves]
        if len(set(ids)) != len(ids):
            raise ValueError("leaf ids are not unique")
        return self

    @model_validator(mode="after")
    def _check_current_version(self) -> IndexDocument:
        if not self.current_version or not self.partition_maps:
            return self
        newest = max(self.partition_maps)
        served = {
            leaf.service for leaf in self.leaves if leaf.version == self.current_version
        }
        missing = sorted(set(self.partition_maps[newest]) - served)
        if missing:
            raise ValueError(
                f"services without leaves of the current version "
                f"{self.current_version}: {missing}"
            )
        return self

    def has_version(self, version: str) -> bool:
        """Return whether any leaf runs this version."""
        return any(leaf.version == version for leaf in self.leaves)


class MoveState(StrEnum):
    """Name the states of a version move."""

    RUNNING = "running"
    TAKEN_BACK = "taken_back"
    DONE = "done"


class MoveDocument(DocumentModel):
    """Schedule the move of an index to another version."""

    move_id: Name
    index: Name
    from_version: Name
    to_version: Name
    start_unix_s: float
    complete_by_unix_s: float
    canary_share: float = Field(default=0.02, gt=0, le=0.5)
    state: MoveState = MoveState.RUNNING
    state_reason: str = ""
    # Revision of the index document that names the version the move ended with; 0
    # until there is one.
    index_revision: int = Field(default=0, ge=0)

    @model_validator(mode="after")
    def _check_times(self) -> MoveDocument:
        if self.complete_by_unix_s <= self.start_unix_s:
            raise ValueError("complete_by_unix_s must be after start_unix_s")
        if self.from_version == self.to_version:
            raise ValueError("from_version and to_version are the same")
        return self
