"""Request bodies of the operator API."""

from __future__ import annotations

from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from gypsumvane_core.document_models import Name
from gypsumvane_core.document_models import ReasonText

ChangeId = Annotated[str, Field(min_length=1, max_length=128)]


class ReasonedChange(BaseModel):
    """Identifier, author and reason of a change."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    change_id: ChangeId
    author: Annotated[str, Field(min_length=1, max_length=128)] = "operator"
    reason: ReasonText


class DocumentPut(ReasonedChange):
    """Replacement of a document at an expected revision; 0 creates it."""

    expected_revision: Annotated[int, Field(ge=0)]
    body: dict[str, Any]


class MoveStart(ReasonedChange):
    """Schedule of a version move."""

    move_id: Name
    from_version: Name
    to_version: Name
    start_unix_s: float
    complete_by_unix_s: float
    canary_share: Annotated[float, Field(gt=0, le=0.5)] | None = None


class MoveTakeBack(ReasonedChange):
    """Order to take back a version move."""

    # Empty for the current move of the index.
    move_id: str = ""
