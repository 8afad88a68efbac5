"""Answers of both versions of a service, counted at all daemons."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from typing import TYPE_CHECKING

from gypsumvane_core.move_comparison import FAILURE_MARGIN
from gypsumvane_core.move_comparison import RATE_FACTOR
from gypsumvane_core.move_comparison import SLOW_MARGIN
from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.move_comparison import log_p_value
from gypsumvane_core.slow_threshold import SlowThreshold

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

# Number of latest answers of each version that a daemon counts. Older ones would hide
# a version that turns bad late.
ANSWER_WINDOW = 100
# Numbers of answers of the first thresholds for slow ones, for services with few
# requests.
FIRST_THRESHOLDS = (8, 16)
# Number of latest answers of the new version that are compared besides.
RECENT_ANSWERS = 30
# Age up to which the report of a daemon is current. It takes two pings, of the daemon
# to its hub and between hubs, which are sent each second.
REPORT_AGE_MAX_S = 2.5
# Time without a report after which a daemon is not expected to report again.
REPORTER_GONE_S = 5.0
# Separates the name of a daemon from that of its start.
START_SEPARATOR = "#"


class AnswerKind(IntEnum):
    """Tell good answers from slow ones and failures."""

    GOOD = 0
    SLOW = 1
    FAILED = 2


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Count a daemon's latest answers on a route, and the most recent new ones.

    The first of each pair counts failures as bad, the second slow answers, too.
    """

    window_failed: Stratum = field(default_factory=Stratum)
    window_bad: Stratum = field(default_factory=Stratum)
    recent_failed: Stratum = field(default_factory=Stratum)
    recent_bad: Stratum = field(default_factory=Stratum)

    def plus(self, other: RouteCounts) -> RouteCounts:
        """Return the sum of this and other counts."""
        return RouteCounts(
            self.window_failed.plus(other.window_failed),
            self.window_bad.plus(other.window_bad),
            self.recent_failed.plus(other.recent_failed),
            self.recent_bad.plus(other.recent_bad),
        )

    def new_is_worse(self, log_significance: float) -> bool:
        """Return whether the new version fails or is slow significantly more often."""
        return any(
            _is_worse(stratum, margin, log_significance)
            for stratum, margin in (
                (self.window_failed, FAILURE_MARGIN),
                (self.recent_failed, FAILURE_MARGIN),
                (self.window_bad, SLOW_MARGIN),
                (self.recent_bad, SLOW_MARGIN),
            )
        )


def _new_window() -> deque[AnswerKind]:
    return deque(maxlen=ANSWER_WINDOW)


@dataclass(slots=True)
class RouteAnswers:
    """Hold the kinds of this daemon's latest answers on a route, by version."""

    old: deque[AnswerKind] = field(default_factory=_new_window)
    new: deque[AnswerKind] = field(default_factory=_new_window)
    slow: SlowThreshold = field(
        default_factory=lambda: SlowThreshold(first_refreshes=FIRST_THRESHOLDS)
    )

    def counts(self) -> RouteCounts:
        """Return the numbers of answers, of failures and of bad ones."""
        recent = list(self.new)[-RECENT_ANSWERS:]
        return RouteCounts(
            _stratum(self.old, self.new, AnswerKind.FAILED),
            _stratum(self.old, self.new, AnswerKind.SLOW),
            _stratum(self.old, recent, AnswerKind.FAILED),
            _stratum(self.old, recent, AnswerKind.SLOW),
        )


def _stratum(
    old: Collection[AnswerKind], new: Collection[AnswerKind], least: AnswerKind
) -> Stratum:
    """Count answers; those of the least kind and worse ones are bad."""
    return Stratum(
        len(old),
        sum(kind >= least for kind in old),
        len(new),
        sum(kind >= least for kind in new),
    )


@dataclass(slots=True)
class MoveEvidence:
    """Compare both versions by the answers that all daemons have counted.

    Load: a fleet of tens of daemons sends the new version one request in twenty, so
    that each daemon alone sees too few answers to judge it.
    """

    # Numbers of requests to the new version and of its good answers at this daemon.
    new_sends: int = 0
    good_answers: int = 0
    _routes: dict[str, RouteAnswers] = field(default_factory=dict)
    # Counts of other daemons by route, and their numbers of requests and good answers.
    _peers: dict[str, Mapping[str, RouteCounts]] = field(default_factory=dict)
    _peers_sends: dict[str, int] = field(default_factory=dict)
    _peers_good: dict[str, int] = field(default_factory=dict)
    # When each reporter last counted its answers, and when it learned of the move.
    _reported_s: dict[str, float] = field(default_factory=dict)
    _learned_s: dict[str, float] = field(default_factory=dict)

    def add_answer(
        self, route: str, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count an answer."""
        answers = self._routes.setdefault(route, RouteAnswers())
        kind = AnswerKind.GOOD
        if failed:
            kind = AnswerKind.FAILED
        elif answers.slow.is_slow(latency_ms):
            kind = AnswerKind.SLOW
        if new:
            answers.new.append(kind)
            self.good_answers += kind is AnswerKind.GOOD
        else:
            answers.old.append(kind)
            if not failed:
                answers.slow.add_baseline(latency_ms)

    def add_unanswered(self, route: str, *, new: bool, waited_ms: float) -> None:
        """Count a request that was given up, as slow if an answer now would be."""
        answers = self._routes.setdefault(route, RouteAnswers())
        if answers.slow.is_slow(waited_ms):
            (answers.new if new else answers.old).append(AnswerKind.SLOW)

    def add_peer(
        self,
        reporter: str,
        routes: Mapping[str, RouteCounts],
        *,
        new_sends: int,
        good_answers: int,
        reported_s: float,
        learned_s: float,
    ) -> None:
        """Replace the counts that a daemon has reported, unless they are newer.

        Counts that a hub forwards may be older than those of another hub.
        """
        if reported_s < self._reported_s.get(reporter, reported_s):
            return
        self._reported_s[reporter] = reported_s
        self._learned_s[reporter] = learned_s
        self._peers[reporter] = routes
        self._peers_sends[reporter] = new_sends
        self._peers_good[reporter] = good_answers

    def is_current(self, now_s: float, running_since_s: float) -> bool:
        """Return whether the counts of all daemons are recent enough to act on.

        running_since_s is the start of this process or the end of its last pause.
        Reports from before say nothing of the time since, and their age does not show
        that a daemon has gone.
        """
        if now_s - running_since_s < REPORT_AGE_MAX_S:
            return False
        last_s: dict[str, float] = {}
        for reporter, at_s in self._reported_s.items():
            daemon = _daemon_name(reporter)
            last_s[daemon] = max(at_s, last_s.get(daemon, at_s))
        gone_s = now_s - REPORTER_GONE_S
        return all(
            now_s - at_s <= REPORT_AGE_MAX_S or max(at_s, running_since_s) <= gone_s
            for at_s in last_s.values()
        )

    def watched_since_s(self, own_learned_s: float, now_s: float) -> float:
        """Return since when half of the daemons that report have watched the move.

        Load: daemons restart during a move, many at once or one after the other. What
        they had seen is lost, and the others alone see too few answers.
        """
        latest: dict[str, str] = {}
        for reporter in sorted(self._reported_s, key=self._reported_s.__getitem__):
            latest[_daemon_name(reporter)] = reporter
        learned_s = [own_learned_s]
        learned_s += (
            self._learned_s[reporter]
            for reporter in latest.values()
            if now_s - self._reported_s[reporter] <= REPORTER_GONE_S
        )
        return sorted(learned_s)[(len(learned_s) - 1) // 2]

    def counts(self) -> dict[str, RouteCounts]:
        """Return the counts of this daemon by route."""
        return {route: answers.counts() for route, answers in self._routes.items()}

    @property
    def fleet_good_answers(self) -> int:
        """Return the number of good answers of the new version at all daemons."""
        return self.good_answers + sum(self._peers_good.values())

    @property
    def fleet_new_sends(self) -> int:
        """Return the number of requests to the new version at all daemons."""
        return self.new_sends + sum(self._peers_sends.values())

    def new_is_worse(self, log_significance: float) -> bool:
        """Return whether the new version is significantly worse on any route."""
        total: dict[str, RouteCounts] = {}
        for routes in self._sources():
            for route, counts in routes.items():
                total[route] = total.get(route, RouteCounts()).plus(counts)
        return any(counts.new_is_worse(log_significance) for counts in total.values())

    def _sources(self) -> Iterator[Mapping[str, RouteCounts]]:
        """Yield the counts of this daemon and of all others."""
        yield self.counts()
        yield from self._peers.values()


def _daemon_name(reporter: str) -> str:
    """Return the name of a daemon without that of its start."""
    return reporter.partition(START_SEPARATOR)[0]


def _is_worse(stratum: Stratum, margin: float, log_significance: float) -> bool:
    if not stratum.new_answers or not stratum.old_answers:
        return False
    old_rate = stratum.old_bad / stratum.old_answers
    new_rate = stratum.new_bad / stratum.new_answers
    if new_rate < RATE_FACTOR * old_rate + margin:
        return False
    return log_p_value([stratum]) < log_significance
