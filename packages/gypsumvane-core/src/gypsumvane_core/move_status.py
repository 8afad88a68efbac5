"""Status of a version move as one daemon reports it to operators."""

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
    # "document", "evidence" of this daemon, or the VM that reported the state.
    state_source: str
    # "waiting", "canary", "scheduled" or "ended".
    phase: str
    share: float
    # Whether the share reaches 1 only after the scheduled time.
    late: bool
    routes: list[RouteStatus] = field(default_factory=list)
    # Share that each live member applies; None if it has not reported one.
    applied: dict[str, float | None] = field(default_factory=dict)
    # Version of the index that gets requests while no move runs; empty: all.
    current_version: str = ""
