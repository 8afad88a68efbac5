"""Plan of a load run."""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from gypsumvane_core.document_models import Address
from gypsumvane_devtools.answer_oracle import AnswerOracle


class LoadKind(StrEnum):
    """Name the kinds of requests."""

    SEARCH = "search"
    LOOKUP = "lookup"
    RUN = "run"


class LoadPlan(BaseModel):
    """Describe open-loop load on one index."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    index: str
    kind: LoadKind = LoadKind.SEARCH
    # Addresses that callers ask for entry addresses.
    addresses: list[Address]
    failure_domains: list[str] = ["a"]
    # False sends round-robin to `addresses` and asks for no entry addresses.
    asks_entry_addresses: bool = True
    callers: int = Field(default=8, ge=1)
    rate_per_s: float = Field(gt=0)
    duration_s: float = Field(gt=0)
    deadline_ms: int = Field(default=1000, ge=1)
    limit: int = 10
    seed: int = 1
    queries: list[str] = ["speaker mixer", "cable xlr", "stage box", "rack truss"]
    # Record keys from which lookups choose.
    record_keys: list[str] = []
    # Runs use idempotency keys that were reserved at a daemon.
    reserves_keys: bool = False
    key_prefix: str = "load"
    # Checks the hits of searches against the listing.
    oracle: AnswerOracle | None = None
