"""How much work the home of an upstream may send to it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from gypsumvane_core.concurrency_limit import ConcurrencyLimit
from gypsumvane_core.service_time_tracker import ServiceTimeTracker
from gypsumvane_core.upstream_state import UpstreamEvent
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_core.upstream_state import UpstreamStateMachine

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# Errors or missed deadlines in a row that are a sign of cold.
CONSECUTIVE_FAILURES_MAX = 3
# Bounds the memory of an upstream that restarts again and again.
FORMER_BOOTS_MAX = 16
# A drain seen in an answer or report ends when reports deny it for this time,
# because a lagging report may still describe the time before the drain.
DRAIN_END_S = 5.0
# Without a sign of life for this time an upstream may have restarted unseen;
# reports arrive once a second.
RESPONSE_VALIDITY_S = 3.0
_SERVING = frozenset((UpstreamState.COLD, UpstreamState.WARMING, UpstreamState.WARM))


class DrainCause(StrEnum):
    """Name who says that an upstream gets no new work."""

    UPSTREAM = "upstream"
    TOPOLOGY = "topology"
    DOMAIN = "domain"


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Carry what an upstream says about itself; it may lag or mislead."""

    # From the response header; empty when missing.
    answering_boot_id: str = ""
    draining: bool = False
    cold: bool = False


@dataclass(frozen=True, slots=True)
class SentCall:
    """Remember under which trust a call was sent."""

    generation: int
    sent_s: float


class UpstreamLimiter:
    """Decide when the next call may be sent; reports only lower trust."""

    def __init__(self, policy: Policy, slots: int) -> None:
        self._policy = policy
        self._machine = UpstreamStateMachine()
        self._limit = ConcurrencyLimit(policy, slots)
        self.service_time = ServiceTimeTracker()
        self.boot_id = ""
        # Grows with each fall; answers to calls of an older generation do not
        # raise the limit.
        self._generation = 0
        self._former_boots: deque[str] = deque(maxlen=FORMER_BOOTS_MAX)
        self._drains: set[DrainCause] = set()
        self._drain_unreported_since_s: float | None = None
        self._last_sent_s = float("-inf")
        # Set by a refusal that names the time after which to try again.
        self._not_before_s = float("-inf")
        self._last_response_s = float("-inf")
        self._failures = 0
        self._report_cold_since_s: float | None = None

    @property
    def state(self) -> UpstreamState:
        """Return the state of the upstream."""
        return self._machine.state

    @property
    def limit(self) -> int:
        """Return how many calls the upstream may carry now; 0 for none."""
        return self._limit.limit if self._serving else 0

    @property
    def drain_causes(self) -> frozenset[DrainCause]:
        """Return who says that the upstream gets no new work."""
        return frozenset(self._drains)

    @property
    def _serving(self) -> bool:
        return self._machine.state in _SERVING

    def configure(self, policy: Policy, slots: int) -> None:
        """Take over changed policy and slots."""
        self._policy = policy
        self._limit.configure(policy, slots)

    def assign(self) -> None:
        """Begin as the home of the upstream."""
        self._machine.apply(UpstreamEvent.ASSIGNED)
        self._reset_to_cold()
        if self._drains:
            self._machine.apply(UpstreamEvent.DRAIN)

    def release(self) -> None:
        """Give the upstream up to another home."""
        self._machine.apply(UpstreamEvent.RELEASED)

    def send_wait_s(
        self, now_s: float, *, in_progress: int, slots_allowed: int, confirmed: bool
    ) -> float | None:
        """Return the time until a call may be sent, None without a bound."""
        if not self._serving or in_progress >= min(self._limit.limit, slots_allowed):
            return None
        if not confirmed and self._may_be_cold(now_s):
            return None
        spaced_s = self._last_sent_s + self._limit.spacing_s
        return max(0.0, spaced_s - now_s, self._not_before_s - now_s)

    def on_sent(self, now_s: float) -> SentCall:
        """Record that a call is being sent."""
        self._last_sent_s = now_s
        return SentCall(generation=self._generation, sent_s=now_s)

    def on_headers(self, now_s: float, *, boot_id: str, draining: bool) -> bool:
        """Read the headers of a response and return whether it is current."""
        if boot_id and not self._update_boot_id(boot_id):
            return False
        self._last_response_s = now_s
        if draining:
            self._drain_unreported_since_s = None
            self.set_drain(DrainCause.UPSTREAM, on=True)
        return True

    def on_good_answer(self, call: SentCall, now_s: float) -> None:
        """Record an answer in time; it may raise the limit."""
        took_s = now_s - call.sent_s
        slow = self.service_time.is_slow(took_s)
        self.service_time.add(took_s)
        if slow or call.generation != self._generation:
            return
        self._failures = 0
        if not self._held_by_report(now_s):
            self._grow()

    def on_shed(self, now_s: float, *, retry_after_s: float = 0.0) -> None:
        """Record that the upstream refused work within its limit.

        Nobody else sends to it, so one such refusal shows that it bears less
        than before; waiting for slow answers as well would send more.
        """
        self._not_before_s = now_s + retry_after_s
        self.on_cold_sign()

    def on_connection_lost(self) -> None:
        """Record a connection that ended; the upstream may have restarted."""
        self.on_cold_sign()

    def on_failure(self) -> None:
        """Record an error of the upstream."""
        self._failures += 1
        self._limit.reset_progress()
        if self._failures >= CONSECUTIVE_FAILURES_MAX:
            self.on_cold_sign()

    def on_late(self, call: SentCall, now_s: float) -> None:
        """Record a call without an answer by its deadline.

        Only a call that waited longer than a usual answer takes says anything
        about the upstream.
        """
        if self.service_time.is_slow(now_s - call.sent_s):
            self.on_failure()

    def on_unreachable(self) -> None:
        """Record that no connection can be opened."""
        self._machine.apply(UpstreamEvent.UNREACHABLE)

    def on_cold_sign(self) -> None:
        """Fall to what a cold upstream bears."""
        self._machine.apply(UpstreamEvent.COLD_SIGN)
        self._reset_to_cold()

    def on_report(self, report: StatusReport, now_s: float) -> None:
        """Read a report; it ends an outage but never raises the limit."""
        current = self.on_headers(
            now_s, boot_id=report.answering_boot_id, draining=report.draining
        )
        if not current:
            return
        if self._machine.apply(UpstreamEvent.REACHED):
            self._reset_to_cold()
        if not report.draining:
            self._check_drain_end(now_s)
        if not report.cold:
            self._report_cold_since_s = None
        elif self._report_cold_since_s is None:
            self._report_cold_since_s = now_s
            self.on_cold_sign()

    def set_drain(self, cause: DrainCause, *, on: bool) -> None:
        """Start or end a drain; after the last one the upstream is cold."""
        if on:
            self._drains.add(cause)
            self._machine.apply(UpstreamEvent.DRAIN)
            return
        self._drains.discard(cause)
        if not self._drains and self._machine.apply(UpstreamEvent.DRAIN_ENDED):
            self._reset_to_cold()

    def _check_drain_end(self, now_s: float) -> None:
        if DrainCause.UPSTREAM not in self._drains:
            return
        if self._drain_unreported_since_s is None:
            self._drain_unreported_since_s = now_s
        if now_s - self._drain_unreported_since_s >= DRAIN_END_S:
            self.set_drain(DrainCause.UPSTREAM, on=False)

    def _update_boot_id(self, boot_id: str) -> bool:
        if boot_id == self.boot_id:
            return True
        # A boot identifier never returns, so a former one is out of date.
        if boot_id in self._former_boots:
            return False
        if self.boot_id:
            self._former_boots.append(self.boot_id)
            self.on_cold_sign()
            self._report_cold_since_s = None
            self.set_drain(DrainCause.UPSTREAM, on=False)
        self.boot_id = boot_id
        return True

    def _reset_to_cold(self) -> None:
        self._limit.reset_to_cold()
        self._generation += 1
        self._failures = 0

    def _grow(self) -> None:
        if not self._limit.on_good_answer():
            return
        self._machine.apply(UpstreamEvent.GREW)
        if self._limit.full:
            self._machine.apply(UpstreamEvent.WARMED)

    def _held_by_report(self, now_s: float) -> bool:
        since_s = self._report_cold_since_s
        if since_s is None:
            return False
        # A report that says cold for longer than this misleads.
        return now_s - since_s < self._policy.cold_report_hold_ms / 1000

    def _may_be_cold(self, now_s: float) -> bool:
        if self.state is not UpstreamState.WARM:
            return True
        return now_s - self._last_response_s > RESPONSE_VALIDITY_S
