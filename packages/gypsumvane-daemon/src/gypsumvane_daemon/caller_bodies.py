"""Validated bodies of callers' requests."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

Key = Annotated[str, Field(min_length=1, max_length=512)]


class CallerBody(BaseModel):
    """Reject unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SearchBody(CallerBody):
    """Describe a search."""

    query: Annotated[str, Field(max_length=4096)]
    limit: int = Field(default=10, ge=1, le=10_000)
    offset: int = Field(default=0, ge=0, le=10_000)


class LookupBody(CallerBody):
    """Describe a lookup."""

    key: Key


class RunBody(BaseModel):
    """Require the key of a run; its other members are the upstream's matter."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    key: Key


class ReserveBody(CallerBody):
    """Ask for reserved keys."""

    count: int = Field(default=1, ge=1, le=100)
