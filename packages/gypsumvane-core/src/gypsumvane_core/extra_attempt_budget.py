"""Budget of hedges and retries, as a share of first tries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import Policy

# Tokens that may be saved up. They let one query replace the services of one
# lost home, and are few against the first tries of a second.
HEDGE_BURST = 10.0
EXTRA_BURST = 20.0


class ExtraAttemptBudget:
    """Fill two token buckets with first tries; extra attempts draw from them.

    A hedge draws from both buckets, a retry from the one for all extras only.
    """

    def __init__(self) -> None:
        self.hedge_tokens = HEDGE_BURST
        self.extra_tokens = EXTRA_BURST

    def add_first_attempts(self, count: int, policy: Policy) -> None:
        """Add the shares of new first tries."""
        hedge_tokens = self.hedge_tokens + count * policy.hedge_budget_share
        extra_tokens = self.extra_tokens + count * policy.extra_budget_share
        self.hedge_tokens = min(hedge_tokens, HEDGE_BURST)
        self.extra_tokens = min(extra_tokens, EXTRA_BURST)

    def acquire_hedge(self, policy: Policy) -> bool:
        """Take a token for a hedge and return whether there was one.

        A share of 0 allows none, not even those that were saved up.
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
