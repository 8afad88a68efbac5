"""One request on its way through the home of an upstream."""

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
    """Carry an outcome with facts about the call."""

    outcome: Outcome
    snapshot: int = 0
    latency_ms: float = 0.0


@dataclass(slots=True, eq=False)
class LeafTask:
    """Describe a request to one upstream and who waits for its result."""

    path: str
    body: bytes
    priority: Priority
    deadline_s: float
    on_done: Callable[[LeafResult], None]
    snapshot: int = 0
    # The answer must name the pinned snapshot.
    snapshot_required: bool = False
    caller_id: str = ""
    idempotency_key: str = ""
    idempotent: bool = True
    done: bool = False

    def finish(self, result: LeafResult) -> None:
        """Deliver the first result; later ones are ignored."""
        if not self.done:
            self.done = True
            self.on_done(result)

    def refuse(self, outcome: Refused) -> None:
        """Deliver a refusal."""
        self.finish(LeafResult(outcome=outcome))
