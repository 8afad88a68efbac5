"""State of a query: attempts, accepted answers and failures."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from gypsumvane_core.query_answer import Coverage
from gypsumvane_core.query_answer import LeftOut
from gypsumvane_core.query_attempt import Attempt
from gypsumvane_core.query_attempt import AttemptState
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.messages import PartialResult
    from gypsumvane_core.partial_body import PartialBody
    from gypsumvane_core.query_attempt import AttemptKind

ANSWERED = "answered"


class Disposition(StrEnum):
    """Name how a result was handled."""

    ACCEPTED = "accepted"
    # The attempt ended without an answer.
    FAILED = "failed"
    # Results with one of the following dispositions are dropped and only counted.
    FOREIGN_QUERY = "foreign_query"
    FOREIGN_ATTEMPT = "foreign_attempt"
    WRONG_SERVICE = "wrong_service"
    WRONG_LEAF = "wrong_leaf"
    REPEATED = "repeated"
    LATE = "late"
    # The expected reply to a cancelled attempt.
    CANCELLED = "cancelled"


@dataclass(slots=True)
class ServicePart:
    """Hold the state of the part of a query that one service answers."""

    service: str
    first_sent_at_s: float = 0.0
    tried: set[str] = field(default_factory=set)
    # Tried leaves that got no request because their home was not reached or has
    # changed.
    unreached: set[str] = field(default_factory=set)
    revisits: int = 0
    outstanding: list[Attempt] = field(default_factory=list)
    rerouted: bool = False
    hedged: bool = False
    body: PartialBody | None = None
    reason: Reason | None = None


class QueryState:
    """Accept the first valid result of each service for the pinned snapshot."""

    def __init__(
        self,
        query_id: str,
        *,
        parse_body: Callable[[bytes], PartialBody],
        snapshot_required: bool,
    ) -> None:
        self.query_id = query_id
        self.snapshot = 0
        self.parts: dict[str, ServicePart] = {}
        self.attempts: dict[int, Attempt] = {}
        self.answered = 0
        self.outstanding = 0
        self.finished = False
        self.restarted = False
        # Whether an upstream may have started to work on any attempt.
        self.may_have_run = False
        self._parse_body = parse_body
        # The answer to a lookup may omit the snapshot.
        self._snapshot_required = snapshot_required

    @property
    def complete(self) -> bool:
        """Return whether every service has answered."""
        return self.answered == len(self.parts)

    def pin(self, snapshot: int, services: Iterable[str]) -> list[Attempt]:
        """Pin the query to a snapshot and drop the state of the previous one.

        Returns the attempts that this cancels.
        """
        cancelled = self.cancel_all()
        self.restarted = bool(self.parts)
        self.snapshot = snapshot
        self.parts = {service: ServicePart(service) for service in services}
        self.answered = 0
        return cancelled

    def add_attempt(
        self, service: str, leaf: LeafModel, kind: AttemptKind, now_s: float
    ) -> Attempt:
        """Add an attempt that is about to be sent."""
        attempt = Attempt(
            attempt_id=len(self.attempts) + 1,
            service=service,
            leaf=leaf,
            snapshot=self.snapshot,
            kind=kind,
            sent_at_s=now_s,
        )
        self.attempts[attempt.attempt_id] = attempt
        part = self.parts[service]
        if not part.first_sent_at_s:
            part.first_sent_at_s = now_s
        part.tried.add(leaf.leaf_id)
        part.outstanding.append(attempt)
        self.outstanding += 1
        return attempt

    def receive(self, result: PartialResult) -> Disposition:
        """Accept a result, fail its attempt, or drop the result."""
        if result.query_id != self.query_id:
            return Disposition.FOREIGN_QUERY
        attempt = self.attempts.get(result.attempt_id)
        if attempt is None:
            return Disposition.FOREIGN_ATTEMPT
        if result.service != attempt.service:
            return Disposition.WRONG_SERVICE
        if result.leaf_id != attempt.leaf.leaf_id:
            return Disposition.WRONG_LEAF
        if attempt.state is not AttemptState.OUTSTANDING:
            return _disposition_after_end(attempt, result)
        if result.kind != ANSWERED:
            self.fail(attempt, _reason_of(result), verdict_of(result))
            return Disposition.FAILED
        return self._receive_answer(attempt, result)

    def fail(self, attempt: Attempt, reason: Reason, verdict: Verdict) -> None:
        """End an outstanding attempt without an answer."""
        attempt.state = AttemptState.FAILED
        self.may_have_run |= verdict is not Verdict.NOT_RUN
        part = self.parts[attempt.service]
        part.outstanding.remove(attempt)
        self.outstanding -= 1
        part.reason = reason

    def cancel_part(self, part: ServicePart) -> list[Attempt]:
        """Cancel the outstanding attempts of one service."""
        cancelled = part.outstanding
        if not cancelled:
            return []
        part.outstanding = []
        self.outstanding -= len(cancelled)
        self.may_have_run = True
        for attempt in cancelled:
            attempt.state = AttemptState.CANCELLED
        return cancelled

    def cancel_all(self) -> list[Attempt]:
        """Cancel all outstanding attempts."""
        cancelled: list[Attempt] = []
        for part in self.parts.values():
            cancelled += self.cancel_part(part)
        return cancelled

    def finish(self) -> list[Attempt]:
        """End the query and return the attempts that this cancels."""
        for part in self.parts.values():
            if part.outstanding:
                part.reason = Reason.DEADLINE
        self.finished = True
        return self.cancel_all()

    def coverage(self) -> Coverage:
        """Return how many services of the pinned snapshot were accepted."""
        left_out = [
            LeftOut(service=part.service, reason=part.reason or Reason.DEADLINE)
            for part in self.parts.values()
            if part.body is None
        ]
        return Coverage(
            asked=len(self.parts),
            answered=len(self.parts) - len(left_out),
            left_out=left_out,
        )

    def bodies(self) -> list[PartialBody]:
        """Return the accepted bodies of all services."""
        return [part.body for part in self.parts.values() if part.body is not None]

    def _receive_answer(self, attempt: Attempt, result: PartialResult) -> Disposition:
        if not self._is_of_pinned_snapshot(result):
            self.fail(attempt, Reason.SNAPSHOT_MISMATCH, Verdict.RAN)
            return Disposition.FAILED
        try:
            body = self._parse_body(result.body)
        except ValueError:
            self.fail(attempt, Reason.UPSTREAM_ERROR, Verdict.RAN)
            return Disposition.FAILED
        attempt.state = AttemptState.ANSWERED
        part = self.parts[attempt.service]
        part.outstanding.remove(attempt)
        self.outstanding -= 1
        if part.body is not None:
            return Disposition.LATE
        part.body = body
        self.answered += 1
        return Disposition.ACCEPTED

    def _is_of_pinned_snapshot(self, result: PartialResult) -> bool:
        if result.snapshot == self.snapshot:
            return True
        return not self._snapshot_required and result.snapshot <= 0


def _disposition_after_end(attempt: Attempt, result: PartialResult) -> Disposition:
    if attempt.state is not AttemptState.CANCELLED:
        return Disposition.REPEATED
    return Disposition.LATE if result.kind == ANSWERED else Disposition.CANCELLED


def _reason_of(result: PartialResult) -> Reason:
    try:
        return Reason(result.reason)
    except ValueError:
        return Reason.UPSTREAM_ERROR


def verdict_of(result: PartialResult) -> Verdict:
    """Return the verdict of a result; an unknown one is MAY_HAVE_RUN."""
    try:
        return Verdict(result.verdict)
    except ValueError:
        return Verdict.MAY_HAVE_RUN
