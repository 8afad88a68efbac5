"""A move as one daemon reports it to operators."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class RouteStatus:
    """Report the evidence of one route."""

    route: str
    old_answers: int
    old_failures: int
    old_slow: int
    new_answers: int
    new_failures: int
    new_slow: int
    good_needed: int


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """Report a move."""

    move_id: str
    index: str
    state: str
    state_reason: str
    # "document", "evidence" here or the VM that reported it.
    state_source: str
    # "waiting", "canary", "scheduled" or "ended".
    phase: str
    share: float
    # The share reaches 1 after the set time.
    late: bool
    routes: list[RouteStatus] = field(default_factory=list)
    # Share that each live member applies; None when it has not reported.
    applied: dict[str, float | None] = field(default_factory=dict)
    # Version of the index that gets the work without a running move; empty: all.
    current_version: str = ""
