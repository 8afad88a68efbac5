"""Load and health of a leaf as observed by this daemon."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Weight of the latest answer in the moving averages, which therefore follow about
# the last ten answers.
AVERAGE_WEIGHT = 0.2
# Half-life of an observed slowness or failure; a leaf that was avoided
# for it gets requests again after about this time.
DECAY_HALF_LIFE_S = 2.0
# Time for which a leaf is avoided after a failed connection attempt.
UNREACHABLE_S = 1.0
# Time for which the queue length that a leaf reports with an answer is used. It is out
# of date after about one more answer.
REPORT_VALID_S = 0.1
# Longest pause that a leaf may ask for.
PAUSE_MAX_S = 300.0
# Time for which a leaf counts as stalled after a call to it was late; pauses
# of leaves last 0.1 to 0.2 s.
STALLED_S = 0.15


@dataclass(slots=True)
class LeafLoad:
    """Track calls in progress, relative latency and failures of one leaf."""

    # Send times of the calls in progress, by call number.
    in_flight: dict[int, float] = field(default_factory=dict)
    # Moving average of latencies relative to the median latency of their route.
    _latency_ratio: float = 1.0
    _failure_share: float = 0.0
    _updated_s: float = 0.0
    _unreachable_until_s: float = 0.0
    _stalled_until_s: float = 0.0
    # The leaf has asked this daemon for a pause until then.
    paused_until_s: float = 0.0
    _reported_waiting: int = 0
    _reported_s: float = 0.0
    # Send times of requests within the last second while the leaf is cold.
    _cold_requests_s: list[float] = field(default_factory=list)
    _next_call: int = 0

    def begin(self, now_s: float) -> int:
        """Record that a call was sent and return its call number."""
        self._next_call += 1
        self.in_flight[self._next_call] = now_s
        return self._next_call

    def end(self, call: int) -> None:
        """Record that a call has ended."""
        self.in_flight.pop(call, None)

    def record_success(self, latency_ratio: float, now_s: float) -> None:
        """Record a good answer and its latency relative to the route's median."""
        self._decay(now_s)
        self._latency_ratio += AVERAGE_WEIGHT * (latency_ratio - self._latency_ratio)
        self._failure_share *= 1 - AVERAGE_WEIGHT
        self._stalled_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Record a failure that the leaf caused."""
        self._decay(now_s)
        self._failure_share += AVERAGE_WEIGHT * (1 - self._failure_share)

    def record_unreachable(self, now_s: float) -> None:
        """Record that no connection could be opened."""
        self._unreachable_until_s = now_s + UNREACHABLE_S

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the leaf refused a request and wants none for a time."""
        until_s = now_s + min(pause_s, PAUSE_MAX_S)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def record_late_call(self, now_s: float) -> None:
        """Record that a call was late enough to be hedged."""
        self._stalled_until_s = now_s + STALLED_S

    def record_queue_length(self, waiting: int, now_s: float) -> None:
        """Record the number of waiting requests that the leaf has reported."""
        self._reported_waiting = waiting
        self._reported_s = now_s

    def is_stalled(self, late_after_s: float, now_s: float) -> bool:
        """Return whether a call is or recently was in progress for too long."""
        if now_s < self._stalled_until_s:
            return True
        return any(now_s - sent_s > late_after_s for sent_s in self.in_flight.values())

    def recently_unreachable(self, now_s: float) -> bool:
        """Return whether a connection to the leaf failed within UNREACHABLE_S."""
        return now_s < self._unreachable_until_s

    def failure_share(self, now_s: float) -> float:
        """Return the moving average of failures, from 0 to 1."""
        self._decay(now_s)
        return self._failure_share

    def expected_latency_ratio(self, slots: int, now_s: float) -> float:
        """Return the expected latency relative to the median of the route.

        slots is the number of requests that the leaf runs at once.
        """
        self._decay(now_s)
        waiting = 0
        if now_s - self._reported_s < REPORT_VALID_S:
            waiting = self._reported_waiting
        load = len(self.in_flight) + waiting
        return self._latency_ratio * (1 + load / max(1, slots))

    def accepts_cold_request(self, rate_per_s: float, now_s: float) -> bool:
        """Return whether one more request keeps a cold leaf within its rate."""
        self._cold_requests_s = [at for at in self._cold_requests_s if now_s - at < 1.0]
        return len(self._cold_requests_s) + 1 <= rate_per_s

    def record_cold_request(self, now_s: float) -> None:
        """Record that a request was sent to the leaf while it is cold."""
        self._cold_requests_s.append(now_s)

    def _decay(self, now_s: float) -> None:
        """Move the averages towards those of a healthy leaf as time passes."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        if elapsed_s <= 0:
            return
        keep = 0.5 ** (elapsed_s / DECAY_HALF_LIFE_S)
        self._latency_ratio = 1.0 + (self._latency_ratio - 1.0) * keep
        self._failure_share *= keep
