"""Times of a planned stop, and which requests are taken in it."""

from __future__ import annotations

from dataclasses import dataclass

# Share of the grace in which new requests are still executed, because callers cache
# the address of a daemon for some seconds.
SERVE_SHARE = 0.6
# Share of the grace after which the requests in progress are answered as failed; the
# rest is for closing the listeners.
END_SHARE = 0.9
# Share of the grace after which the daemon waits for no answer any more.
RETURN_SHARE = 0.95
# A run that may not be repeated is taken if this many times its usual latency is left.
RUN_LATENCY_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Decide about requests while a daemon stops.

    Load: callers keep their connections to a daemon that is told to stop, and send
    requests until its end. One that is passed on and then cut off may have run, and
    its caller may not repeat it.
    """

    begun_s: float
    # Time between the signal to stop and the end of the process.
    grace_s: float

    @property
    def serves_until_s(self) -> float:
        """Return when the daemon refuses all new requests."""
        return self.begun_s + SERVE_SHARE * self.grace_s

    @property
    def ends_s(self) -> float:
        """Return when each request has its final answer."""
        return self.begun_s + END_SHARE * self.grace_s

    @property
    def returns_s(self) -> float:
        """Return when the daemon closes its listeners whatever is in progress."""
        return self.begun_s + RETURN_SHARE * self.grace_s

    def accepts(
        self, *, idempotent: bool, usual_latency_s: float, now_s: float
    ) -> bool:
        """Return whether a request can be expected to end before the daemon does."""
        if now_s >= self.serves_until_s:
            return False
        needed_s = usual_latency_s * (1.0 if idempotent else RUN_LATENCY_FACTOR)
        return now_s + needed_s < self.ends_s
