"""Budget of hedges and retries as a share of first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# Tokens that may accumulate. They allow one query to retry the services of one
# lost home, and are few compared with the first attempts of one second.
HEDGE_BURST = 10.0
EXTRA_BURST = 20.0


class ExtraAttemptBudget:
    """Two token buckets that first attempts fill and extra attempts draw from.

    A hedge takes a token from both buckets, a retry only from the one for all
    extra attempts.
    """

    def __init__(self) -> None:
        self.hedge_tokens = HEDGE_BURST
        self.extra_tokens = EXTRA_BURST

    def add_first_attempts(self, count: int, policy: Policy) -> None:
        """Add the tokens that new first attempts earn."""
        hedge_tokens = self.hedge_tokens + count * policy.hedge_budget_share
        extra_tokens = self.extra_tokens + count * policy.extra_budget_share
        self.hedge_tokens = min(hedge_tokens, HEDGE_BURST)
        self.extra_tokens = min(extra_tokens, EXTRA_BURST)

    def acquire_hedge(self, policy: Policy) -> bool:
        """Take a token for a hedge and return whether there was one.

        A share of 0 allows no hedges, not even with accumulated tokens.
        """
        if self.hedge_tokens < 1 or self.extra_tokens < 1:
            return False
        if policy.hedge_budget_share == 0:
            return False
        self.hedge_tokens -= 1
        self.extra_tokens -= 1
        return True

    def acquire_retry(self, policy: Policy) -> bool:
        """Take a token for a retry and return whether there was one."""
        if self.extra_tokens < 1 or policy.extra_budget_share == 0:
            return False
        self.extra_tokens -= 1
        return True
