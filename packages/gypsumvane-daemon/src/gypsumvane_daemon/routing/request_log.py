"""Rate-limited log of the decisions on requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.token_bucket import TokenBucket

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
    from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics

logger = logging.getLogger("gypsumvane.request")

# Rate at which the lines take about 1% of a core, at 30 us per line.
LINES_PER_S = 300.0
LINES_BURST = 600.0


class RequestLog:
    """Count every decision and log it within the rate limit."""

    def __init__(self, clock: Clock, metrics: RoutingMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lines = TokenBucket(LINES_PER_S, LINES_BURST)
        self._dropped = 0

    def decision(self, event: str, request: ForwardedRequest, **fields: Any) -> None:
        """Record a decision on a request together with the request's age."""
        age_ms = int((self._clock.monotonic_s() - request.arrived_s) * 1000)
        self.line(event, request_id=request.request_id, age_ms=age_ms, **fields)

    def line(self, event: str, **fields: Any) -> None:
        """Record an event with the given log fields."""
        self._metrics.count("request_decisions", decision=event)
        if not self._lines.take(self._clock.monotonic_s()):
            self._dropped += 1
            self._metrics.count("log_lines_dropped", reason="rate")
            return
        if self._dropped:
            fields["lines_dropped_before"] = self._dropped
            self._dropped = 0
        logger.info("request", extra={"decision": event, **fields})
