"""Answers of both versions of a service, counted at all daemons."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.move_comparison import FAILURE_MARGIN
from gypsumvane_core.move_comparison import RATE_FACTOR
from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.move_comparison import log_p_value
from gypsumvane_core.slow_threshold import SlowThreshold

if TYPE_CHECKING:
    from collections.abc import Mapping

# Number of latest answers of each version that a daemon counts. Older ones would hide
# a version that turns bad late.
ANSWER_WINDOW = 100
# Number of latest answers of the new version that are compared besides.
RECENT_ANSWERS = 30


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Count a daemon's latest answers on a route, and the most recent new ones."""

    window: Stratum = field(default_factory=Stratum)
    recent: Stratum = field(default_factory=Stratum)


def _new_window() -> deque[bool]:
    return deque(maxlen=ANSWER_WINDOW)


@dataclass(slots=True)
class RouteAnswers:
    """Hold which of this daemon's latest answers on a route were bad, by version."""

    old: deque[bool] = field(default_factory=_new_window)
    new: deque[bool] = field(default_factory=_new_window)
    slow: SlowThreshold = field(default_factory=SlowThreshold)

    def counts(self) -> RouteCounts:
        """Return the numbers of answers and of bad ones."""
        old, old_bad = len(self.old), sum(self.old)
        recent = list(self.new)[-RECENT_ANSWERS:]
        return RouteCounts(
            Stratum(old, old_bad, len(self.new), sum(self.new)),
            Stratum(old, old_bad, len(recent), sum(recent)),
        )


@dataclass(slots=True)
class MoveEvidence:
    """Compare both versions by the answers that all daemons have counted.

    Load: a fleet of tens of daemons sends the new version one request in twenty, so
    that each daemon alone sees too few answers to judge it.
    """

    # Number of good answers of the new version at this daemon.
    good_answers: int = 0
    _routes: dict[str, RouteAnswers] = field(default_factory=dict)
    # Counts of other daemons by route, and their numbers of good answers.
    _peers: dict[str, Mapping[str, RouteCounts]] = field(default_factory=dict)
    _peers_good: dict[str, int] = field(default_factory=dict)

    def add_answer(
        self, route: str, *, new: bool, failed: bool, latency_ms: float
    ) -> None:
        """Count an answer."""
        answers = self._routes.setdefault(route, RouteAnswers())
        bad = failed or answers.slow.is_slow(latency_ms)
        if new:
            answers.new.append(bad)
            self.good_answers += not bad
        else:
            answers.old.append(bad)
            if not failed:
                answers.slow.add_baseline(latency_ms)

    def add_peer(
        self, reporter: str, routes: Mapping[str, RouteCounts], good_answers: int
    ) -> None:
        """Replace the counts that a daemon has reported."""
        self._peers[reporter] = routes
        self._peers_good[reporter] = good_answers

    def counts(self) -> dict[str, RouteCounts]:
        """Return the counts of this daemon by route."""
        return {route: answers.counts() for route, answers in self._routes.items()}

    @property
    def fleet_good_answers(self) -> int:
        """Return the number of good answers of the new version at all daemons."""
        return self.good_answers + sum(self._peers_good.values())

    @property
    def any_answers(self) -> bool:
        """Return whether any daemon has an answer of either version."""
        return bool(self._routes) or any(self._peers.values())

    def new_is_worse(self, log_significance: float) -> bool:
        """Return whether the new version is significantly worse on any route."""
        sources = (self.counts(), *self._peers.values())
        windows: dict[str, Stratum] = {}
        recents: dict[str, Stratum] = {}
        for counts in sources:
            for route, count in counts.items():
                windows[route] = windows.get(route, Stratum()).plus(count.window)
                recents[route] = recents.get(route, Stratum()).plus(count.recent)
        return any(
            _is_worse(stratum, log_significance)
            for stratum in (*windows.values(), *recents.values())
        )


def _is_worse(stratum: Stratum, log_significance: float) -> bool:
    if not stratum.new_answers or not stratum.old_answers:
        return False
    old_rate = stratum.old_bad / stratum.old_answers
    new_rate = stratum.new_bad / stratum.new_answers
    if new_rate < RATE_FACTOR * old_rate + FAILURE_MARGIN:
        return False
    return log_p_value([stratum]) < log_significance
