"""Selection of a leaf among the candidates of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_core.index_routes import Candidates
    from gypsumvane_core.messages import UpstreamBrief

# Share of selections that probe a cold or failing leaf. A leaf that gets no requests
# gives no good answers and would stay cold.
COLD_STATES = frozenset({"unknown", "cold", "warming"})
PROBE_SHARE = 0.03
LATENCY_MIN_MS = 1.0
# Weight of the newest answer in the recent failure share of a leaf.
FAILURE_WEIGHT = 0.2
# One failure among good answers stays below this share, two in a row do not.
FAILING_SHARE = 0.3
# A failing leaf answers fast and would attract requests by its low load, so its load
# counts as this many times higher.
FAILING_LOAD_FACTOR = 100.0


class LeafSelector:
    """Select by the power of two choices over load and latency."""

    def __init__(
        self, brief_of: Callable[[str], UpstreamBrief | None], random: Random
    ) -> None:
        self._brief_of = brief_of
        self._random = random
        # Attempts of this root in progress by leaf; briefs reflect them late.
        self._in_progress: dict[str, int] = {}
        # Recent share of failed answers by leaf; leaves without failures are absent.
        self._failures: dict[str, float] = {}

    def record(self, leaf_id: str, *, failed: bool) -> None:
        """Record whether a request that reached a leaf failed."""
        share = self._failures.get(leaf_id, 0.0)
        if not failed and not share:
            return
        share += FAILURE_WEIGHT * (failed - share)
        if share < FAILURE_WEIGHT / 100:
            del self._failures[leaf_id]
        else:
            self._failures[leaf_id] = share

    def begin(self, leaf_id: str) -> None:
        """Record the start of an attempt at a leaf."""
        self._in_progress[leaf_id] = self._in_progress.get(leaf_id, 0) + 1

    def end(self, leaf_id: str) -> None:
        """Record the end of an attempt at a leaf."""
        left = self._in_progress.get(leaf_id, 0) - 1
        if left > 0:
            self._in_progress[leaf_id] = left
        else:
            self._in_progress.pop(leaf_id, None)

    def in_progress(self, leaf_id: str) -> int:
        """Return how many attempts of this root are in progress at a leaf."""
        return self._in_progress.get(leaf_id, 0)

    def select(
        self, candidates: Candidates, tried: Collection[str] = ()
    ) -> LeafModel | None:
        """Return a leaf that has not been tried yet, None when there is none.

        Leaves that are not known to serve the snapshot are used as a last resort.
        """
        leaf = self._select_among(candidates.known, tried)
        return leaf or self._select_among(candidates.possible, tried)

    def _select_among(
        self, candidates: Sequence[LeafModel], tried: Collection[str]
    ) -> LeafModel | None:
        if tried:
            candidates = [leaf for leaf in candidates if leaf.leaf_id not in tried]
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._draw_two(candidates)
        if self._load(second.leaf_id) < self._load(first.leaf_id):
            first, second = second, first
        if self._needs_probe(second.leaf_id) and self._random.random() < PROBE_SHARE:
            return second
        return first

    def _draw_two(self, candidates: Sequence[LeafModel]) -> tuple[LeafModel, LeafModel]:
        count = len(candidates)
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        return candidates[first], candidates[second + (second >= first)]

    def _load(self, leaf_id: str) -> float:
        brief = self._brief_of(leaf_id)
        waiting: float = self.in_progress(leaf_id) + 1
        if self._is_failing(leaf_id):
            waiting *= FAILING_LOAD_FACTOR
        if brief is None:
            return waiting * LATENCY_MIN_MS
        waiting += brief.queued
        return waiting / max(brief.limit, 1) * max(brief.latency_ms, LATENCY_MIN_MS)

    def _is_failing(self, leaf_id: str) -> bool:
        return self._failures.get(leaf_id, 0.0) >= FAILING_SHARE

    def _needs_probe(self, leaf_id: str) -> bool:
        """Return whether a leaf needs a probe request to update its state."""
        if self.in_progress(leaf_id):
            return False
        if self._is_failing(leaf_id):
            return True
        brief = self._brief_of(leaf_id)
        return brief is None or (brief.state in COLD_STATES and not brief.queued)
