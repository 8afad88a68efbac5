"""Possible outcomes of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from gypsumvane_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Refused:
    """Outcome of a request that no upstream ran."""

    reason: Reason
    message: str = ""
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Failed:
    """Outcome of a request that ended without an answer."""

    reason: Reason
    verdict: Verdict
    message: str = ""


@dataclass(frozen=True, slots=True)
class Completed:
    """Outcome of a request that an upstream ran and answered."""

    status: int
    body: bytes
    replayed: bool = False
    verdict: Verdict = Verdict.RAN


Outcome = Refused | Failed | Completed
