"""Requests and results of a leaf at its home."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.outcome import Outcome
    from gypsumvane_core.outcome import Refused
    from gypsumvane_core.priority import Priority


@dataclass(frozen=True, slots=True)
class LeafResult:
    """Outcome of a request with the snapshot and latency of its call."""

    outcome: Outcome
    snapshot: int = 0
    latency_ms: float = 0.0


@dataclass(slots=True, eq=False)
class LeafTask:
    """Request to one upstream, with the callback that receives its result."""

    path: str
    body: bytes
    priority: Priority
    deadline_s: float
    on_done: Callable[[LeafResult], None]
    snapshot: int = 0
    # Whether the answer must name the requested snapshot.
    snapshot_required: bool = False
    caller_id: str = ""
    idempotency_key: str = ""
    idempotent: bool = True
    done: bool = False

    def finish(self, result: LeafResult) -> None:
        """Deliver the result, unless one was delivered before."""
        if not self.done:
            self.done = True
            self.on_done(result)

    def refuse(self, outcome: Refused) -> None:
        """Deliver a refusal, unless a result was delivered before."""
        self.finish(LeafResult(outcome=outcome))
