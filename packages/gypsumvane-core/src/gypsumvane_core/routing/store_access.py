"""Decision whether a daemon that gets no copy from its relays calls the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Time for which the answer of a relay without a confirmed copy counts as evidence that
# the store fails for others too.
EVIDENCE_VALID_S = 3.0
# Pause between the calls of one daemon while there is such evidence. A daemon that
# alone still reaches the store learns of changes within this time.
CALL_PAUSE_MIN_S = 2.0
CALL_PAUSE_MAX_S = 4.0


@dataclass(slots=True)
class StoreAccess:
    """Bound the calls of a fleet to a store that is down or has just returned.

    Load: the store fails, and hundreds of daemons lose their confirmed copies at the
    same moment. The hubs of each failure domain keep trying, and the other daemons
    read from them again as soon as one of them has the store back.
    """

    rng: Random
    _evidence_until_s: float = 0.0
    _next_call_s: float = 0.0

    def record_unconfirmed(self, now_s: float) -> None:
        """Record that a relay answered without a confirmed copy."""
        if now_s >= self._evidence_until_s:
            # The first calls of all daemons are spread, too.
            self._next_call_s = now_s + self.rng.uniform(0.0, CALL_PAUSE_MAX_S)
        self._evidence_until_s = now_s + EVIDENCE_VALID_S

    def record_confirmed(self) -> None:
        """Record that a relay or the store returned the current state."""
        self._evidence_until_s = 0.0

    def take_call(self, now_s: float) -> bool:
        """Return whether this daemon may call the store now, and count the call."""
        if now_s >= self._evidence_until_s:
            return True
        if now_s < self._next_call_s:
            return False
        self._next_call_s = now_s + self.rng.uniform(CALL_PAUSE_MIN_S, CALL_PAUSE_MAX_S)
        return True
