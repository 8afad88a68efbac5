"""One request of a query to one leaf."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import LeafModel


class AttemptKind(StrEnum):
    """Tell why an attempt is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    # Replaces an attempt that never reached an upstream.
    REROUTE = "reroute"


class AttemptState(StrEnum):
    """Tell what became of an attempt."""

    OUTSTANDING = "outstanding"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Attempt:
    """Track one attempt."""

    attempt_id: int
    service: str
    leaf: LeafModel
    snapshot: int
    kind: AttemptKind
    sent_at_s: float
    state: AttemptState = AttemptState.OUTSTANDING
