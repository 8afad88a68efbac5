"""Selection of the leaf that a request is sent to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from random import Random

    from gypsumvane_core.routing.leaf_load import LeafLoad
    from gypsumvane_core.routing.leaf_registry import LeafEntry

# All costs are in units of the route's median latency.
STALLED_COST = 6.0
UNREACHABLE_COST = 40.0
FAILURE_COST = 12.0
# Traffic between failure domains is billed. The cost is low enough for a leaf in
# another failure domain to win against a longer queue.
OTHER_DOMAIN_COST = 0.15
# Upper limit of a random cost that spreads requests over equivalent leaves.
RANDOM_COST = 0.2


@dataclass(frozen=True, slots=True)
class LeafChooser:
    """Choose the leaf with the lowest cost, mainly its expected latency."""

    failure_domain: str
    rng: Random

    def choose(
        self,
        entries: Iterable[LeafEntry],
        load_of: Callable[[LeafEntry], LeafLoad],
        *,
        late_after_s: float,
        now_s: float,
    ) -> LeafEntry | None:
        """Return the leaf with the lowest cost, None if there are no entries.

        A leaf counts as stalled once a request to it has taken late_after_s.
        """
        best: LeafEntry | None = None
        best_cost = 0.0
        for entry in entries:
            load = load_of(entry)
            cost = load.expected_latency_ratio(entry.slots, now_s)
            cost += FAILURE_COST * load.failure_share(now_s)
            if load.is_stalled(late_after_s, now_s):
                cost += STALLED_COST
            if load.recently_unreachable(now_s):
                cost += UNREACHABLE_COST
            if entry.failure_domain != self.failure_domain:
                cost += OTHER_DOMAIN_COST
            cost += RANDOM_COST * self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = entry, cost
        return best
