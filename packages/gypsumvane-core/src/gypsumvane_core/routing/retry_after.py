"""Time after which refused callers should return."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Callers wait at most this share of their remaining time.
CALLER_WAIT_SHARE = 1 / 3
# Shortest wait, in which a caller finds another daemon.
WAIT_MIN_S = 0.05
# The returns of callers that were refused together are spread over this multiple of
# the expected wait.
SPREAD_RATIO = 0.5
# Lowest rank that returns later than more urgent ones.
RANK_MAX = 3


@dataclass(frozen=True, slots=True)
class RetryAfterPolicy:
    """Choose when a refused caller returns.

    Load: all daemons start at once after a power loss, or all leaves of a service
    are gone, and hundreds of callers are refused within the same second. A caller
    that returns too early is refused again and gives up; callers that return
    together overload what has just become free.
    """

    rng: Random

    def wait_s(self, expected_s: float, *, left_s: float, rank: int | None) -> float:
        """Return the wait of a caller.

        expected_s is the time until the request can be served, left_s the time until
        the caller's deadline. Callers of a lower rank, which are more urgent, return
        first; a rank of None is unknown.
        """
        lane = self.rng.random()
        if rank is not None:
            lane = (min(max(rank, 0), RANK_MAX) + lane) / (RANK_MAX + 1)
        wait_s = expected_s * (1 + SPREAD_RATIO * lane)
        return max(WAIT_MIN_S, min(wait_s, CALLER_WAIT_SHARE * max(0.0, left_s)))
