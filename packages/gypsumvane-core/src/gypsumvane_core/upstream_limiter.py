"""Flow control of the calls that a home sends to an upstream."""

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

# This many consecutive errors or missed deadlines indicate a cold upstream.
CONSECUTIVE_FAILURES_MAX = 3
# Bounds the boot identifiers kept for an upstream that restarts repeatedly.
FORMER_BOOTS_MAX = 16
# A drain seen in an answer or a report ends once reports have not shown it for this
# time, because a lagging report may still describe the time before the drain.
DRAIN_END_S = 5.0
# Without a response for this time an upstream may have restarted unnoticed; reports
# arrive once a second.
RESPONSE_VALIDITY_S = 3.0
_SERVING = frozenset((UpstreamState.COLD, UpstreamState.WARMING, UpstreamState.WARM))


class DrainCause(StrEnum):
    """Name why an upstream gets no new calls."""

    UPSTREAM = "upstream"
    TOPOLOGY = "topology"
    DOMAIN = "domain"


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Hold the status that an upstream reports; it may lag or be wrong."""

    # From the response header; empty if missing.
    answering_boot_id: str = ""
    draining: bool = False
    cold: bool = False


@dataclass(frozen=True, slots=True)
class SentCall:
    """Record when a call was sent and the generation of the limit at that time."""

    generation: int
    sent_s: float


class UpstreamLimiter:
    """Limit the rate and concurrency of calls; reports can only lower the limit."""

    def __init__(self, policy: Policy, slots: int) -> None:
        self._policy = policy
        self._machine = UpstreamStateMachine()
        self._limit = ConcurrencyLimit(policy, slots)
        self.service_time = ServiceTimeTracker()
        self.boot_id = ""
        # Incremented at each reset to cold; answers to calls of an older generation do
        # not raise the limit.
        self._generation = 0
        self._former_boots: deque[str] = deque(maxlen=FORMER_BOOTS_MAX)
        self._drains: set[DrainCause] = set()
        self._drain_unreported_since_s: float | None = None
        self._last_sent_s = float("-inf")
        # Set by a refusal that names a time after which to retry.
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
        """Return how many calls may be in progress now; 0 while it gets none."""
        return self._limit.limit if self._serving else 0

    @property
    def drain_causes(self) -> frozenset[DrainCause]:
        """Return the reasons why the upstream gets no new calls."""
        return frozenset(self._drains)

    @property
    def _serving(self) -> bool:
        return self._machine.state in _SERVING

    def configure(self, policy: Policy, slots: int) -> None:
        """Apply a changed policy and number of slots."""
        self._policy = policy
        self._limit.configure(policy, slots)

    def assign(self) -> None:
        """Start as the home of the upstream, which counts as cold."""
        self._machine.apply(UpstreamEvent.ASSIGNED)
        self._reset_to_cold()
        if self._drains:
            self._machine.apply(UpstreamEvent.DRAIN)

    def release(self) -> None:
        """Release the upstream to another home."""
        self._machine.apply(UpstreamEvent.RELEASED)

    def send_wait_s(
        self, now_s: float, *, in_progress: int, slots_allowed: int, confirmed: bool
    ) -> float | None:
        """Return the seconds to wait before a call, None if none is allowed for now."""
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
        """Process response headers; return whether they are of the current process."""
        if boot_id and not self._update_boot_id(boot_id):
            return False
        self._last_response_s = now_s
        if draining:
            self._drain_unreported_since_s = None
            self.set_drain(DrainCause.UPSTREAM, on=True)
        return True

    def on_good_answer(self, call: SentCall, now_s: float) -> None:
        """Record an answer in time, which may raise the limit."""
        took_s = now_s - call.sent_s
        slow = self.service_time.is_slow(took_s)
        self.service_time.add(took_s)
        if slow or call.generation != self._generation:
            return
        self._failures = 0
        if not self._held_by_report(now_s):
            self._grow()

    def on_shed(self, now_s: float, *, retry_after_s: float = 0.0) -> None:
        """Record that the upstream refused a call within its limit.

        No other daemon sends to it, so a single refusal shows that its capacity
        has decreased; waiting for slow answers as well would overload it more.
        """
        self._not_before_s = now_s + retry_after_s
        self.on_cold_sign()

    def on_connection_lost(self) -> None:
        """Record a lost connection; the upstream may have restarted."""
        self.on_cold_sign()

    def on_failure(self) -> None:
        """Record an error of the upstream; several in a row reset the limit."""
        self._failures += 1
        self._limit.reset_progress()
        if self._failures >= CONSECUTIVE_FAILURES_MAX:
            self.on_cold_sign()

    def on_late(self, call: SentCall, now_s: float) -> None:
        """Record a call without an answer by its deadline.

        It counts as a failure only if the call waited much longer than a normal
        answer takes.
        """
        if self.service_time.is_slow(now_s - call.sent_s):
            self.on_failure()

    def on_unreachable(self) -> None:
        """Record that the upstream cannot be reached."""
        self._machine.apply(UpstreamEvent.UNREACHABLE)

    def on_cold_sign(self) -> None:
        """Reset the limit to that of a cold upstream."""
        self._machine.apply(UpstreamEvent.COLD_SIGN)
        self._reset_to_cold()

    def on_report(self, report: StatusReport, now_s: float) -> None:
        """Process a status report; it may end an outage but not raise the limit."""
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
        """Set or clear a cause of draining; without causes the upstream is cold."""
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
        # A boot identifier is never reused, so a former one is out of date.
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
        # A report of cold that persists for longer is taken as wrong.
        return now_s - since_s < self._policy.cold_report_hold_ms / 1000

    def _may_be_cold(self, now_s: float) -> bool:
        if self.state is not UpstreamState.WARM:
            return True
        return now_s - self._last_response_s > RESPONSE_VALIDITY_S
