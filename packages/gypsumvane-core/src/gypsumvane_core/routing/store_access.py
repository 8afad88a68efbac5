"""Decision whether a daemon that gets no copy from its relays calls the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Time for which the answer of a relay without a confirmed copy counts as evidence that
# the store fails for others too.
EVIDENCE_VALID_S = 3.0
# Pause after a call that failed while there is such evidence. Together with the pause
# of the feed it is shorter than the 4 s after which a daemon that reaches the store
# again counts as healthy.
CALL_PAUSE_MIN_S = 2.0
CALL_PAUSE_MAX_S = 3.0
# Age of the own copy from which a call is due. Relays serve their copies up to it.
CALL_AGE_MIN_S = 2.1
# Time before the news has to be in force at which a call is due at the latest: for a
# pause of the feed, a relay that is silent and the call itself.
CALL_LEAD_S = 1.7


@dataclass(slots=True)
class StoreAccess:
    """Bound the calls of a fleet to a store that is down or has just returned.

    Load: the store fails, and hundreds of daemons lose their confirmed copies at the
    same moment. The hubs of each failure domain keep trying, and the other daemons
    read from them again as soon as one of them has the store back.

    The store may also fail for the relays only. Each daemon finds out by a call of its
    own before its copy is too old, and goes on to call while the calls succeed.
    """

    rng: Random
    # Time in which changes have to be in force.
    news_bound_s: float
    _evidence_until_s: float = 0.0
    # Age of the own copy from which the first call is due.
    _call_age_s: float = 0.0
    # Earliest time of the next call after one that failed.
    _next_call_s: float | None = None
    # Whether the latest call since the evidence began was answered.
    _reached: bool = False

    def record_unconfirmed(self, now_s: float) -> None:
        """Record that a relay answered without a confirmed copy."""
        if now_s >= self._evidence_until_s:
            # The first calls of all daemons are spread as far as the bound allows.
            age_max_s = self.news_bound_s - CALL_LEAD_S
            age_min_s = min(CALL_AGE_MIN_S, age_max_s)
            self._call_age_s = self.rng.uniform(age_min_s, age_max_s)
            self._next_call_s = None
            self._reached = False
        self._evidence_until_s = now_s + EVIDENCE_VALID_S

    def record_confirmed(self) -> None:
        """Record that a relay returned a confirmed copy."""
        self._evidence_until_s = 0.0

    def record_answered(self) -> None:
        """Record that the store answered a call of this daemon."""
        self._reached = True
        self._next_call_s = None

    def record_failed(self, now_s: float) -> None:
        """Record that a call of this daemon to the store failed."""
        self._reached = False
        pause_s = self.rng.uniform(CALL_PAUSE_MIN_S, CALL_PAUSE_MAX_S)
        self._next_call_s = now_s + pause_s

    def may_call(self, now_s: float, copy_age_s: float) -> bool:
        """Return whether this daemon may call the store now.

        copy_age_s is the time since the store last confirmed the own copy.
        """
        if now_s >= self._evidence_until_s or self._reached:
            return True
        if self._next_call_s is not None:
            return now_s >= self._next_call_s
        return copy_age_s >= self._call_age_s
