"""Exchange of what daemons know of version moves, as a part of their pings."""

from __future__ import annotations

import logging
import math
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.move_comparison import Stratum
from gypsumvane_core.routing.move_evidence import RouteCounts
from gypsumvane_core.routing.version_move import MoveReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.version_move import MoveRegistry

logger = logging.getLogger(__name__)

# Time for which a hub forwards the reports of a daemon that no longer pings it.
REPORT_VALID_S = 5.0


class MoveExchange:
    """Encode the reports for a ping and adopt those of a peer.

    A hub forwards the reports of the daemons that ping it, so that hubs know the
    answers of the whole fleet.
    """

    def __init__(self, reporter: str, moves: MoveRegistry, clock: Clock) -> None:
        self._reporter = reporter
        self._moves = moves
        self._clock = clock
        # Reports received from the daemon itself, and when, by reporter.
        self._direct: dict[str, tuple[list[MoveReport], float]] = {}
        # Called when the reports of peers show that a version is bad.
        self.on_taken_back: Callable[[], None] = lambda: None

    def outgoing(self, *, forward: bool) -> dict[str, Any]:
        """Return the content for a ping, with the reports of others on request."""
        now_s = self._clock.monotonic_s()
        expired_s = now_s - REPORT_VALID_S
        self._direct = {
            reporter: entry
            for reporter, entry in self._direct.items()
            if entry[1] > expired_s
        }
        # A hub that was paused forwards what it received before the pause.
        forwarded = [
            _encode(replace(report, age_s=report.age_s + now_s - received_s))
            for reports, received_s in self._direct.values()
            for report in reports
        ]
        return {
            "own": [
                _encode(report) for report in self._moves.reports(self._reporter, now_s)
            ],
            "forwarded": forwarded if forward else [],
        }

    def receive(self, content: Any, sent_s: float) -> None:
        """Adopt the reports in a ping that was sent at a time.

        Raises KeyError, TypeError or ValueError if they are malformed.
        """
        own = [_decode(entry) for entry in content["own"]]
        forwarded = [_decode(entry) for entry in content["forwarded"]]
        if own:
            self._direct[own[0].reporter] = (own, sent_s)
        known = [entry for entry in forwarded if entry.reporter != self._reporter]
        taken_back = self._moves.add_reports([*own, *known], sent_s)
        for move in taken_back:
            logger.warning(
                "version taken back by the answers of all daemons",
                extra={
                    "service": move.order.service,
                    "target_version": move.order.target_version,
                },
            )
        if taken_back:
            self.on_taken_back()


def _encode(report: MoveReport) -> dict[str, Any]:
    return {
        "reporter": report.reporter,
        "service": report.service,
        "target_version": report.target_version,
        "elapsed_s": report.elapsed_s,
        "age_s": report.age_s,
        "taken_back": report.taken_back,
        "new_sends": report.new_sends,
        "good_answers": report.good_answers,
        "routes": {
            route: _encode_counts(counts) for route, counts in report.routes.items()
        },
    }


def _decode(entry: Any) -> MoveReport:
    return MoveReport(
        reporter=str(entry["reporter"]),
        service=str(entry["service"]),
        target_version=str(entry["target_version"]),
        elapsed_s=_duration_s(entry, "elapsed_s"),
        age_s=_duration_s(entry, "age_s"),
        taken_back=bool(entry["taken_back"]),
        new_sends=int(entry["new_sends"]),
        good_answers=int(entry["good_answers"]),
        routes={
            str(route): _decode_counts(numbers)
            for route, numbers in dict(entry["routes"]).items()
        },
    )


def _duration_s(entry: Any, name: str) -> float:
    value_s = float(entry[name])
    if not 0 <= value_s < math.inf:
        raise ValueError(f"{name} is {value_s}")
    return value_s


def _encode_counts(counts: RouteCounts) -> list[int]:
    window, recent = counts.window_bad, counts.recent_bad
    return [
        window.old_answers,
        window.old_bad,
        counts.window_failed.old_bad,
        window.new_answers,
        window.new_bad,
        counts.window_failed.new_bad,
        recent.new_answers,
        recent.new_bad,
        counts.recent_failed.new_bad,
    ]


def _decode_counts(numbers: Any) -> RouteCounts:
    (
        old,
        old_bad,
        old_failed,
        new,
        new_bad,
        new_failed,
        recent,
        recent_bad,
        recent_failed,
    ) = map(int, numbers)
    if not (
        0 <= old_failed <= old_bad <= old
        and 0 <= new_failed <= new_bad <= new
        and 0 <= recent_failed <= recent_bad <= recent
    ):
        raise ValueError("more bad answers than answers")
    return RouteCounts(
        Stratum(old, old_failed, new, new_failed),
        Stratum(old, old_bad, new, new_bad),
        Stratum(old, old_failed, recent, recent_failed),
        Stratum(old, old_bad, recent, recent_bad),
    )
