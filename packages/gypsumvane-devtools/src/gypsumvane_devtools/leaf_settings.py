"""Settings of simulated leaves and the topology file."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from gypsumvane_core.document_models import Address
from gypsumvane_core.document_models import Name


class TopologyModel(BaseModel):
    """Reject unknown keys; base of the topology models."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListingKind(StrEnum):
    """Select the vocabulary of the generated records."""

    EQUIPMENT = "equipment"
    ROOMS = "rooms"


class ServiceTime(TopologyModel):
    """Describe the distribution of the time for one request."""

    mean_ms: float = Field(default=4.0, ge=0)
    # Standard deviation of the logarithm; 0 gives a constant time.
    sigma: float = Field(default=0.3, ge=0)
    straggler_share: float = Field(default=0.0, ge=0, le=1)
    straggler_factor: float = Field(default=10.0, ge=1)


class CrashMode(StrEnum):
    """Select how a crashed leaf fails its requests."""

    CLOSE = "close"
    ERROR = "error"


class ColdSettings(TopologyModel):
    """Describe the capacity of a cold leaf and how it warms up."""

    # Requests that a cold leaf can have in progress.
    bears: int = Field(default=1, ge=1)
    rate_per_s: float = Field(default=30.0, ge=0)
    rate_burst: float = Field(default=2.0, ge=1)
    # The leaf is warm after this many good answers; 0 starts it warm.
    good_answers: int = Field(default=15, ge=0)
    # The leaf is also warm after this time; 0 disables warming by time.
    warm_after_s: float = Field(default=0.0, ge=0)
    slow_factor: float = Field(default=4.0, ge=1)
    outage_s: float = Field(default=2.0, ge=0)
    fall_mode: CrashMode = CrashMode.CLOSE
    # Requests in transit when the leaf first signals that it is cold arrive
    # within this time and count as unwarned.
    sign_grace_s: float = Field(default=0.02, ge=0)


class FaultMode(StrEnum):
    """Name the fault of a bad version."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"


class VersionFault(TopologyModel):
    """Describe the fault of a bad version."""

    mode: FaultMode = FaultMode.NONE
    share: float = Field(default=1.0, ge=0, le=1)
    after_s: float = Field(default=0.0, ge=0)
    # The fault shows only while more requests than this are in progress.
    above_in_progress: int = Field(default=0, ge=0)
    # Only this kind of request fails: search, lookup or run; empty for all.
    route: str = ""
    slow_factor: float = Field(default=10.0, ge=1)


class ReportSettings(TopologyModel):
    """Describe the delay and distortion of load reports."""

    lag_s: float = Field(default=0.0, ge=0)
    load_factor: float = Field(default=1.0, ge=0)
    hides_cold: bool = False


class LeafSettings(TopologyModel):
    """Describe one simulated leaf."""

    leaf_id: Name
    index: Name
    service: Name
    failure_domain: Name
    address: Address = "127.0.0.1:0"
    version: Name = "v1"
    listing: ListingKind = ListingKind.EQUIPMENT
    records: int = Field(default=400, ge=0)
    seed: int = 1
    slots: int = Field(default=2, ge=1)
    queue_max: int = Field(default=8, ge=0)
    connections_max: int = Field(default=25, ge=1)
    connect_ms: float = Field(default=6.0, ge=0)
    snapshots: list[int] = [1]
    # Services that hold a part of each snapshot, by its number.
    partition_maps: dict[int, list[Name]]
    service_time: ServiceTime = ServiceTime()
    cold: ColdSettings = ColdSettings()
    fault: VersionFault = VersionFault()
    report: ReportSettings = ReportSettings()
    keeps_deadlines: bool = True

    def patched(self, values: dict[str, Any]) -> LeafSettings:
        """Return a copy with some values replaced, nested models key by key.

        Raises ValidationError when a value is not allowed.
        """
        merged = self.model_dump(mode="json")
        for key, value in values.items():
            if isinstance(value, dict) and isinstance(merged.get(key), dict):
                merged[key] = {**merged[key], **value}
            else:
                merged[key] = value
        return LeafSettings.model_validate(merged)


class Topology(TopologyModel):
    """List the leaves that one process serves."""

    control_address: Address = "127.0.0.1:0"
    # Ledger file that several processes share; empty keeps runs in memory.
    ledger_path: str = ""
    leaves: list[LeafSettings]
