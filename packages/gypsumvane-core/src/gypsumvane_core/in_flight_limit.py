"""Adaptive limit of callers' requests in flight at a root."""

from __future__ import annotations

INITIAL_LIMIT = 32
# The limit decreases below this share of complete answers in time.
IN_TIME_SHARE_MIN = 0.95
DECREASE_FACTOR = 0.8
GROWTH_SHARE = 0.1
# Mean share of its time that a request spends in flight: up to the first value the
# limit may grow, above the second it decreases. Requests that wait here can be
# ordered, expired and refused; requests that wait at the upstreams end late.
RUN_SHARE_GROWTH_MAX = 0.4
RUN_SHARE_MAX = 0.6
# In a smaller window a single late answer would decide.
WINDOW_MIN = 20
# A limit far above the requests in flight would admit a sudden overload entirely,
# and all of it would end late. The minimum leaves room for a burst after idle time.
UNUSED_FACTOR = 2.0
UNUSED_MIN = 8.0


class InFlightLimit:
    """Adapt the limit to the share of complete answers delivered in time."""

    def __init__(self, limit_max: int) -> None:
        self.limit_max = limit_max
        self._limit = float(min(INITIAL_LIMIT, limit_max))
        # Requests of an older generation were admitted under another limit.
        self.generation = 0
        self._peak = 0
        self._begin_window()

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight."""
        return max(1, min(int(self._limit), self.limit_max))

    def record_limit_reached(self) -> None:
        """Record that a request had to wait because of the limit."""
        self._limit_reached = True

    def record_in_flight(self, count: int) -> None:
        """Record the number of requests in flight after one has started."""
        self._peak = max(self._peak, count)

    def on_finish(self, *, in_time: bool, run_share: float, generation: int) -> None:
        """Record the end of a request and the share of its time in flight."""
        if generation != self.generation:
            return
        self._finished += 1
        self._in_time += in_time
        self._run_share_sum += run_share
        if self._finished >= max(WINDOW_MIN, self.limit):
            self._adapt()

    def _adapt(self) -> None:
        run_share = self._run_share_sum / self._finished
        late = self._in_time < IN_TIME_SHARE_MIN * self._finished
        if late or run_share > RUN_SHARE_MAX:
            self._decrease(run_share)
        elif not self._limit_reached:
            unused = max(UNUSED_MIN, UNUSED_FACTOR * self._peak)
            self._limit = min(self._limit, unused)
        elif run_share <= RUN_SHARE_GROWTH_MAX:
            grown = self._limit + max(1.0, self._limit * GROWTH_SHARE)
            self._limit = min(float(self.limit_max), grown)
        self._begin_window()

    def _decrease(self, run_share: float) -> None:
        # At a saturated upstream the time in flight is proportional to the number of
        # requests in flight (Little's law), so one step reaches the target.
        factor = min(DECREASE_FACTOR, RUN_SHARE_GROWTH_MAX / max(run_share, 1e-9))
        self._limit = max(1.0, self._limit * factor)
        self.generation += 1

    def _begin_window(self) -> None:
        self._finished = 0
        self._in_time = 0
        self._run_share_sum = 0.0
        self._limit_reached = False
        self._peak = 0
