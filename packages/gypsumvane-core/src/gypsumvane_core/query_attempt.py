"""Attempt of a query at one leaf."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import LeafModel


class AttemptKind(StrEnum):
    """Name why an attempt is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    # Replaces an attempt that never reached an upstream.
    REROUTE = "reroute"


class AttemptState(StrEnum):
    """Name the states of an attempt."""

    OUTSTANDING = "outstanding"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Attempt:
    """Hold an attempt and its state."""

    attempt_id: int
    service: str
    leaf: LeafModel
    snapshot: int
    kind: AttemptKind
    sent_at_s: float
    state: AttemptState = AttemptState.OUTSTANDING
