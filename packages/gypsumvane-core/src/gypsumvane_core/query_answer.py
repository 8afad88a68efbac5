"""Answers of a root to search and lookup requests."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from gypsumvane_core.reason import Reason
    from gypsumvane_core.verdict import Verdict


class AnswerOutcome(StrEnum):
    """Name how completely a request was answered."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LeftOut:
    """Name a service that is missing from an answer, and why."""

    service: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Coverage:
    """Count the services of the pinned snapshot and those that answered."""

    asked: int = 0
    answered: int = 0
    left_out: list[LeftOut] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the fields that all answers have in common."""

    request_id: str
    outcome: AnswerOutcome
    verdict: Verdict
    reason: Reason | None = None
    message: str = ""
    snapshot: int = 0


@dataclass(frozen=True, slots=True)
class SearchAnswer(Answer):
    """Answer a search."""

    coverage: Coverage = field(default_factory=Coverage)
    hits: list[dict[str, Any]] = field(default_factory=list)
    total: int = 0


@dataclass(frozen=True, slots=True)
class LookupAnswer(Answer):
    """Answer a lookup."""

    service: str = ""
    found: bool = False
    record: dict[str, Any] | None = None
