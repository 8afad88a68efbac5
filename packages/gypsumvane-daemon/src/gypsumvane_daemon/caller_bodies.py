"""Request body models of the caller API."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

Key = Annotated[str, Field(min_length=1, max_length=512)]


class CallerBody(BaseModel):
    """Base of bodies that reject unknown members."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SearchBody(CallerBody):
    """Body of a search request."""

    query: Annotated[str, Field(max_length=4096)]
    limit: int = Field(default=10, ge=1, le=10_000)
    offset: int = Field(default=0, ge=0, le=10_000)


class LookupBody(CallerBody):
    """Body of a lookup request."""

    key: Key


class RunBody(BaseModel):
    """Body of a run; members other than the key are validated by the upstream."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    key: Key


class ReserveBody(CallerBody):
    """Body of a request for reserved idempotency keys."""

    count: int = Field(default=1, ge=1, le=100)
