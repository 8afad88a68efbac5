"""Capacity of a simulated leaf while it is cold."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

from gypsumvane_core.token_bucket import TokenBucket

if TYPE_CHECKING:
    from gypsumvane_devtools.leaf_settings import ColdSettings


class ColdLoad(StrEnum):
    """Classify a request by the capacity of a cold leaf."""

    WITHIN_CAPACITY = "borne"
    # Above the capacity, but before the sender could see that the leaf is cold.
    EXCESS_UNWARNED = "excess_unwarned"
    EXCESS = "excess"


class ColdState:
    """Track the warm-up of a leaf."""

    def __init__(self, settings: ColdSettings, *, now_s: float) -> None:
        self._good_answers = 0
        self._since_s = now_s
        self._sign_s = now_s
        self._shows_in_answers = False
        self._bucket = TokenBucket(settings.rate_per_s, settings.rate_burst)

    def defer_sign(self, *, shows_in_answers: bool) -> None:
        """Hide that the leaf is cold until an answer, refusal or report shows it."""
        self._sign_s = math.inf
        self._shows_in_answers = shows_in_answers

    def is_cold(self, settings: ColdSettings, now_s: float) -> bool:
        """Return whether the leaf is still cold."""
        if self._good_answers >= settings.good_answers:
            return False
        if settings.warm_after_s <= 0:
            return True
        return now_s - self._since_s < settings.warm_after_s

    def classify(
        self, settings: ColdSettings, in_progress: int, now_s: float
    ) -> ColdLoad:
        """Classify a request that arrives while others are in progress."""
        within_capacity = in_progress < settings.bears and self._bucket.take(now_s)
        if within_capacity:
            return ColdLoad.WITHIN_CAPACITY
        if now_s < self._sign_s + settings.sign_grace_s:
            return ColdLoad.EXCESS_UNWARNED
        return ColdLoad.EXCESS

    def record_sign(self, now_s: float) -> None:
        """Record that a refusal or report showed that the leaf is cold."""
        self._sign_s = min(self._sign_s, now_s)

    def record_good_answer(self, now_s: float) -> None:
        """Count a good answer, which warms the leaf."""
        self._good_answers += 1
        if self._shows_in_answers:
            self.record_sign(now_s)
