"""State and decisions of one daemon about one version move."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.answer_sampler import AnswerSample
from gypsumvane_core.answer_sampler import AnswerSampler
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.move_comparison import FAILURE_MARGIN
from gypsumvane_core.move_comparison import SLOW_MARGIN
from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.move_evidence import EvidenceTable
from gypsumvane_core.move_history import MoveHistory
from gypsumvane_core.move_schedule import MoveSchedule
from gypsumvane_core.slow_threshold import SlowThreshold

if TYPE_CHECKING:
    from random import Random

    from gypsumvane_core.document_models import MoveDocument
    from gypsumvane_core.messages import MoveEvidence

REASON_LENGTH_MAX = 200
# Good answers needed to outweigh one bad answer above the rate of the old version.
GOOD_PER_BAD_ANSWER = 20
# Share of bad answers in a step that is reported at once. Single slow answers are
# normal and wait for the next heartbeat; otherwise a move under load would double
# the heartbeats.
SUSPICIOUS_RATE = 0.5


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Summarise the evidence on one route."""

    counts: MoveEvidence
    good_new: int
    good_needed: int

    @property
    def has_enough_traffic(self) -> bool:
        """Return whether the route has enough traffic to wait for its proof."""
        answers = self.counts.old_answers + self.counts.new_answers
        return answers >= self.good_needed

    @property
    def proven(self) -> bool:
        """Return whether the new version has given enough good answers.

        Good answers must outweigh bad ones above the rate of the old version, so
        that a version that fails often stays at its canary share.
        """
        needed = self.good_needed + GOOD_PER_BAD_ANSWER * self._excess_bad
        return self.good_new >= needed

    @property
    def _excess_bad(self) -> float:
        """Return the number of bad answers above the rate of the old version."""
        counts = self.counts
        bad = counts.new_failures + counts.new_slow
        old_bad = counts.old_failures + counts.old_slow
        expected = counts.new_answers * old_bad / max(counts.old_answers, 1)
        return max(0.0, bad - expected)


class MoveTracker:
    """Track a move by its document, the evidence and the facts from peers."""

    def __init__(
        self,
        move: MoveDocument,
        *,
        incarnation: str,
        rng: Random,
        good_needed: int,
    ) -> None:
        self.move = move
        self.evidence = EvidenceTable(move.move_id, incarnation)
        self.taken_back_reason: str | None = None
        self.proven_at_unix_s: float | None = None
        self._good_needed = good_needed
        self._sampler = AnswerSampler(rng)
        self._thresholds: dict[str, SlowThreshold] = {}
        self._failures: dict[str, MoveHistory] = {}
        self._slow: dict[str, MoveHistory] = {}
        # Own answers of the new version as of the last step, and how many were bad.
        self._own_new = (0, 0)
        self._suspicious = False

    def update(self, move: MoveDocument) -> None:
        """Apply a newer revision of the document."""
        self.move = move
        if move.state is MoveState.TAKEN_BACK:
            self.take_back(move.state_reason or "taken back by the document")

    def take_back(self, reason: str) -> bool:
        """Take the move back, which is final, and return whether it was not yet."""
        if self.taken_back_reason is not None:
            return False
        self.taken_back_reason = reason[:REASON_LENGTH_MAX]
        return True

    @property
    def state(self) -> MoveState:
        """Return the state that this daemon applies."""
        if self.taken_back_reason is not None:
            return MoveState.TAKEN_BACK
        return self.move.state

    def share(self, now_unix_s: float) -> float:
        """Return the share of the new version that this daemon applies."""
        if self.state is MoveState.TAKEN_BACK:
            return 0.0
        if self.state is MoveState.DONE:
            return 1.0
        return MoveSchedule(self.move).share(now_unix_s, self.proven_at_unix_s)

    def version(self, draw: float, now_unix_s: float) -> str:
        """Return the version for a request; ``draw`` is a random number in [0, 1)."""
        if draw < self.share(now_unix_s):
            return self.move.to_version
        return self.move.from_version

    def record(
        self, route: str, version: str, sample: AnswerSample, now_s: float
    ) -> None:
        """Record the evidence of one answer."""
        if self.state is not MoveState.RUNNING:
            return
        if version not in (self.move.from_version, self.move.to_version):
            return
        ended = self._sampler.add((route, version), sample, now_s)
        if ended is not None:
            self._count(route, version, ended)

    def step(self, now_s: float, now_unix_s: float) -> str | None:
        """Compare the versions; return why the new one is worse, else None."""
        for (route, version), sample in self._sampler.flush(now_s):
            self._count(route, version, sample)
        self._update_suspicious()
        if self.state is not MoveState.RUNNING:
            return None
        reason = None
        for route, growth in self.evidence.growth().items():
            reason = self._compare(route, growth) or reason
        if reason is None and self.proven_at_unix_s is None:
            self._update_proven(now_unix_s)
        return reason

    @property
    def suspicious(self) -> bool:
        """Return whether peers should learn of the last step's answers at once."""
        return self.state is MoveState.RUNNING and self._suspicious

    def _update_suspicious(self) -> None:
        rows = self.evidence.own_rows()
        answers = sum(row.new_answers for row in rows)
        bad = sum(row.new_failures + row.new_slow for row in rows)
        step_answers, step_bad = answers - self._own_new[0], bad - self._own_new[1]
        self._own_new = (answers, bad)
        self._suspicious = step_bad > 0 and step_bad >= SUSPICIOUS_RATE * step_answers

    def routes(self) -> list[RouteEvidence]:
        """Return the evidence of each route."""
        found = []
        for route in self.evidence.routes():
            counts = self.evidence.total(route)
            good = counts.new_answers - counts.new_failures
            found.append(RouteEvidence(counts, good, self._good_needed))
        return found

    def _update_proven(self, now_unix_s: float) -> None:
        if now_unix_s < MoveSchedule(self.move).canary_until_unix_s():
            return
        if all(route.proven for route in self.routes() if route.has_enough_traffic):
            self.proven_at_unix_s = now_unix_s

    def _count(self, route: str, version: str, sample: AnswerSample) -> None:
        threshold = self._thresholds.setdefault(route, SlowThreshold())
        slow = not sample.failed and threshold.is_slow(sample.latency_ms)
        new = version == self.move.to_version
        if not new and not sample.failed:
            threshold.add_baseline(sample.latency_ms)
        self.evidence.count(route, new=new, failed=sample.failed, slow=slow)

    def _compare(self, route: str, growth: MoveEvidence) -> str | None:
        failures = self._failures.setdefault(route, MoveHistory())
        failures.add(
            Stratum(
                growth.old_answers,
                growth.old_failures,
                growth.new_answers,
                growth.new_failures,
            )
        )
        slow = self._slow.setdefault(route, MoveHistory())
        slow.add(
            Stratum(
                growth.old_answers - growth.old_failures,
                growth.old_slow,
                growth.new_answers - growth.new_failures,
                growth.new_slow,
            )
        )
        if failures.is_worse(margin=FAILURE_MARGIN):
            return f"{self.move.to_version} fails more often on {route}"
        if slow.is_worse(margin=SLOW_MARGIN):
            return f"{self.move.to_version} is slower on {route}"
        return None
