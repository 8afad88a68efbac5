"""Gradual move of a service's requests to leaves of a new version.

The new version gets a small canary share of the requests first, then a share that
rises with time. A daemon takes the version back, that is, sends it no more requests,
as soon as its answers are significantly worse than those of the old one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from math import log
from typing import TYPE_CHECKING

from gypsumvane_core.routing.move_evidence import MoveEvidence

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_core.routing.move_evidence import RouteCounts

# Share of the operators' bound on the canary share that is used. Each daemon draws the
# version of a request at random, so the share of the fleet varies around its mean.
CANARY_BOUND_USED = 0.5
# Share of the operators' slack that is used at the start, with EARLY_SHARE of the
# requests, so that services with few requests yield answers to judge.
SLACK_BOUND_USED = 0.25
EARLY_SHARE = 0.25
# Points in time as shares of the move's duration. The share of the new version starts
# to rise at CANARY_END and is 1 from FULL_SHARE_AT; from COMPLETE_AT completion is
# recorded, which leaves time to write it to the store. A version that turns bad
# after the share has risen exceeds the operators' bound, so it rises late.
CANARY_END = 0.65
FULL_SHARE_AT = 0.82
COMPLETE_AT = 0.85
# Point at which a version that is still suspect or unproven is taken back.
DECIDE_AT = 0.97
# Good answers of the new version at all daemons that are needed before its share
# rises.
GOOD_ANSWERS_MIN = 10
# Share of the duration after which one good answer suffices, for services with few
# requests.
GOOD_ANSWERS_WAIVED_AT = 0.75
# Natural logarithm of the probability of taking back a version that is not worse. A
# move makes about a thousand comparisons at each daemon.
LOG_SIGNIFICANCE = log(1e-5)
# The same for holding the share at that of the canary, and for the decision at the
# end of the move.
LOG_SUSPICION = log(0.05)
LOG_FINAL_SIGNIFICANCE = log(0.01)


@dataclass(frozen=True, slots=True)
class CanaryBound:
    """Bound the requests of all daemons to a version that turns out to be bad."""

    # Share of all requests of the service.
    share: float
    # Number of requests on top.
    slack: float = 0.0


class MoveState(StrEnum):
    """Name the states of a version move in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    # The platform's name for the state of a version that was taken back.
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Hold an operator's order to move a service and its recorded state."""

    service: str
    target_version: str
    duration_s: float
    # None until a state is recorded for this target version.
    state: MoveState | None = None
    # Revision of the order in the store, for conditional updates.
    revision: int = 0


@dataclass(frozen=True, slots=True)
class MoveReport:
    """Tell peers what one daemon knows of a move."""

    # Names one start of a daemon, whose counts begin anew.
    reporter: str
    service: str
    target_version: str
    # Time since the daemon learned of the order, at the time of the report.
    elapsed_s: float
    taken_back: bool
    new_sends: int
    good_answers: int
    routes: dict[str, RouteCounts]
    # Time since the report was made, if a hub forwards it.
    age_s: float = 0.0


class VersionMove:
    """Execute one order at one daemon."""

    def __init__(
        self,
        order: MoveOrder,
        started_s: float,
        bound: CanaryBound,
        *,
        fleet_share: float = 1.0,
    ) -> None:
        self.order = order
        self._learned_s = started_s
        # The move is executed by the time for which daemons have watched it.
        self._watched_since_s = started_s
        self._canary_share = bound.share * CANARY_BOUND_USED
        # Requests of this daemon to the new version that may draw on the slack.
        self._early_sends_left = bound.slack * SLACK_BOUND_USED * fleet_share
        self._evidence = MoveEvidence()
        # Whether the new version is probably worse.
        self._suspect = False
        self.state = order.state or MoveState.RUNNING

    def update(self, order: MoveOrder) -> None:
        """Adopt the recorded state of the order; a recorded final state stays."""
        recorded = self.order.state
        self.order = order
        if order.state is None:
            return
        decided_here = recorded in (None, MoveState.RUNNING)
        # The old leaves are stopped once a completion is recorded.
        if self.state is MoveState.RUNNING or (
            decided_here and order.state is MoveState.COMPLETED
        ):
            self.state = order.state

    def new_version_share(self, now_s: float) -> float:
        """Return the share of requests that the new version gets now."""
        if self.state is not MoveState.RUNNING:
            return 1.0 if self.state is MoveState.COMPLETED else 0.0
        elapsed = self._elapsed_share(now_s)
        if elapsed < CANARY_END or self._suspect or not self._proven(now_s):
            early = self._early_sends_left >= 1
            return max(self._canary_share, EARLY_SHARE if early else 0.0)
        risen = min(1.0, (elapsed - CANARY_END) / (FULL_SHARE_AT - CANARY_END))
        return self._canary_share + (1 - self._canary_share) * risen

    def _proven(self, now_s: float) -> bool:
        """Return whether enough good answers were seen for more than a canary."""
        good = self._evidence.fleet_good_answers
        if self._elapsed_share(now_s) >= GOOD_ANSWERS_WAIVED_AT:
            return good > 0 or not self._evidence.fleet_new_sends
        return good >= GOOD_ANSWERS_MIN

    def record_answer(
        self, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> bool:
        """Record an answer and return whether it causes the version to be taken back.

        failed tells that the request was or may have been executed without a good
        answer; latency_ms then has no effect.
        """
        new = version == self.order.target_version
        self._evidence.add_answer(route, new=new, failed=failed, latency_ms=latency_ms)
        return new and self._take_back_if_worse()

    def record_unanswered(self, route: str, version: str, waited_ms: float) -> bool:
        """Record a request that was given up.

        Returns whether it causes the version to be taken back.
        """
        new = version == self.order.target_version
        self._evidence.add_unanswered(route, new=new, waited_ms=waited_ms)
        return new and self._take_back_if_worse()

    def report(self, reporter: str, now_s: float) -> MoveReport:
        """Return what this daemon knows of the move."""
        return MoveReport(
            reporter,
            service=self.order.service,
            target_version=self.order.target_version,
            elapsed_s=now_s - self._learned_s,
            taken_back=self.state is MoveState.ROLLED_BACK,
            new_sends=self._evidence.new_sends,
            good_answers=self._evidence.good_answers,
            routes=self._evidence.counts(),
        )

    def add_reports(self, reports: Sequence[MoveReport], now_s: float) -> bool:
        """Adopt peers' reports and return whether they take the version back here."""
        for report in reports:
            reported_s = now_s - report.age_s
            self._evidence.add_peer(
                report.reporter,
                report.routes,
                new_sends=report.new_sends,
                good_answers=report.good_answers,
                reported_s=reported_s,
                learned_s=reported_s - report.elapsed_s,
            )
        self._watched_since_s = self._evidence.watched_since_s(self._learned_s, now_s)
        if self.state is MoveState.RUNNING and any(
            report.taken_back for report in reports
        ):
            self.state = MoveState.ROLLED_BACK
            return True
        return self._take_back_if_worse()

    def _take_back_if_worse(self) -> bool:
        if self.state is not MoveState.RUNNING:
            return False
        self._suspect = self._evidence.new_is_worse(LOG_SUSPICION)
        if not self._evidence.new_is_worse(LOG_SIGNIFICANCE):
            return False
        self.state = MoveState.ROLLED_BACK
        return True

    def due_state(
        self, now_s: float, running_since_s: float = -math.inf
    ) -> MoveState | None:
        """Return the final state that is due now, None if the move goes on.

        The old leaves are stopped on a completion, so that it needs current reports of
        all daemons. running_since_s is the start of this process or the end of its
        last pause.
        """
        if self.state is not MoveState.RUNNING:
            return None
        elapsed = self._elapsed_share(now_s)
        if elapsed < COMPLETE_AT:
            return None
        if self._evidence.new_is_worse(LOG_FINAL_SIGNIFICANCE):
            return MoveState.ROLLED_BACK
        if self._proven(now_s) and not self._suspect:
            current = self._evidence.is_current(now_s, running_since_s)
            return MoveState.COMPLETED if current else None
        return MoveState.ROLLED_BACK if elapsed >= DECIDE_AT else None

    def take_back(self) -> None:
        """Send no more requests to the new version."""
        self.state = MoveState.ROLLED_BACK

    def select_leaves(
        self, entries: Sequence[LeafEntry], draw: float, now_s: float
    ) -> list[LeafEntry]:
        """Return the leaves of the version that a request goes to.

        draw is a random number from 0 to 1. Leaves of the other version stand in if
        the chosen one has none: those of the old version always, those of the new
        version once the move is complete, and never after it was taken back.
        """
        target = self.order.target_version
        new = [entry for entry in entries if entry.version == target]
        old = [entry for entry in entries if entry.version != target]
        if self.state is MoveState.ROLLED_BACK:
            return old
        if draw < self.new_version_share(now_s):
            self._early_sends_left -= bool(new)
            self._evidence.new_sends += bool(new)
            return new or old
        return old or (new if self.state is MoveState.COMPLETED else [])

    def _elapsed_share(self, now_s: float) -> float:
        watched_s = now_s - self._watched_since_s
        return watched_s / max(self.order.duration_s, 0.001)


class MoveRegistry:
    """Hold the latest move of each service."""

    def __init__(self, bound: CanaryBound) -> None:
        self._bound = bound
        # This daemon's share of limits that hold for the fleet.
        self.share = 1.0
        self._moves: dict[str, VersionMove] = {}

    def put(self, order: MoveOrder, now_s: float) -> VersionMove:
        """Add an order or update the recorded state of a known one.

        An order that is older than the known one changes nothing. A move that no peer
        reports begins anew, as all evidence of it is lost.
        """
        move = self._moves.get(order.service)
        if move is not None and order.revision < move.order.revision:
            return move
        if move is None or move.order.target_version != order.target_version:
            move = VersionMove(order, now_s, self._bound, fleet_share=self.share)
            self._moves[order.service] = move
        else:
            move.update(order)
        return move

    def remove(self, service: str, revision: int) -> None:
        """Remove a move whose order is gone at a revision of the store.

        A move whose version was taken back stays, because it must get no requests,
        and so does one whose order is newer.
        """
        move = self._moves.get(service)
        if move is None or move.state is MoveState.ROLLED_BACK:
            return
        if revision >= move.order.revision:
            del self._moves[service]

    def find(self, service: str) -> VersionMove | None:
        """Return the move of a service, None if there is none."""
        return self._moves.get(service)

    def reports(self, reporter: str, now_s: float) -> list[MoveReport]:
        """Return what this daemon knows of all moves that peers may still execute."""
        return [
            move.report(reporter, now_s)
            for move in self._moves.values()
            if move.state is not MoveState.COMPLETED
        ]

    def add_reports(
        self, reports: Iterable[MoveReport], now_s: float
    ) -> list[VersionMove]:
        """Adopt peers' reports and return the moves that they take back here."""
        by_service: dict[str, list[MoveReport]] = {}
        for report in reports:
            move = self._moves.get(report.service)
            if move is not None and move.order.target_version == report.target_version:
                by_service.setdefault(report.service, []).append(report)
        return [
            self._moves[service]
            for service, known in by_service.items()
            if self._moves[service].add_reports(known, now_s)
        ]

    def all(self) -> list[VersionMove]:
        """Return all moves."""
        return list(self._moves.values())
