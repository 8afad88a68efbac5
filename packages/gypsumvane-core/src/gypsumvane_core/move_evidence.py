"""Counts of answers per route, merged from all incarnations."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from gypsumvane_core.messages import MoveEvidence

# If the first report of an incarnation has more answers than this, they are older
# than the current step and do not count as growth.
FIRST_REPORT_ANSWERS_MAX = 50
ROUTES_MAX = 32
INCARNATIONS_MAX = 10_000
_COUNTS = (
    "old_answers",
    "old_failures",
    "old_slow",
    "new_answers",
    "new_failures",
    "new_slow",
)


def add_counts(
    one: MoveEvidence, other: MoveEvidence, *, sign: int = 1
) -> MoveEvidence:
    """Return the sum of two rows of counts; a sign of -1 gives the difference."""
    counts = {n: getattr(one, n) + sign * getattr(other, n) for n in _COUNTS}
    return replace(one, **counts)


def _max_counts(one: MoveEvidence, other: MoveEvidence) -> MoveEvidence:
    counts = {n: max(getattr(one, n), getattr(other, n)) for n in _COUNTS}
    return replace(one, **counts)


@dataclass(slots=True)
class EvidenceTable:
    """Grow-only counters of one move, by route and incarnation.

    Rows may be merged repeatedly, late and in any order with the same result.
    """

    move_id: str
    incarnation: str
    _rows: dict[tuple[str, str], MoveEvidence] = field(default_factory=dict)
    # Counts that `growth` has already returned.
    _reported: dict[tuple[str, str], MoveEvidence] = field(default_factory=dict)

    def count(self, route: str, *, new: bool, failed: bool, slow: bool) -> None:
        """Count one answer seen by this incarnation."""
        key = (route, self.incarnation)
        row = self._rows.get(key)
        if row is None:
            if len(self.routes()) >= ROUTES_MAX:
                return
            row = self._rows[key] = self._empty(*key)
        if new:
            row.new_answers += 1
            row.new_failures += failed
            row.new_slow += slow
        else:
            row.old_answers += 1
            row.old_failures += failed
            row.old_slow += slow

    def merge(self, row: MoveEvidence) -> None:
        """Merge the counts of another incarnation."""
        if row.move_id != self.move_id or row.incarnation == self.incarnation:
            return
        key = (row.route, row.incarnation)
        known = self._rows.get(key)
        if known is not None:
            self._rows[key] = _max_counts(known, row)
            return
        if len(self._rows) >= ROUTES_MAX * INCARNATIONS_MAX:
            return
        self._rows[key] = replace(row)
        if row.old_answers + row.new_answers > FIRST_REPORT_ANSWERS_MAX:
            self._reported[key] = replace(row)

    def own_rows(self) -> list[MoveEvidence]:
        """Return the counts of this incarnation."""
        rows = self._rows.items()
        return [replace(row) for (_, who), row in rows if who == self.incarnation]

    def routes(self) -> list[str]:
        """Return all routes with answers, sorted."""
        return sorted({route for route, _ in self._rows})

    def total(self, route: str) -> MoveEvidence:
        """Return the counts of a route, summed over all incarnations."""
        total = self._empty(route, "")
        for (name, _), row in self._rows.items():
            if name == route:
                total = add_counts(total, row)
        return total

    def growth(self) -> dict[str, MoveEvidence]:
        """Return the counts added since the last call, by route."""
        growth: dict[str, MoveEvidence] = {}
        for key, row in self._rows.items():
            reported = self._reported.get(key) or self._empty(*key)
            step = add_counts(row, reported, sign=-1)
            before = growth.get(key[0]) or self._empty(key[0], "")
            growth[key[0]] = add_counts(before, step)
            self._reported[key] = replace(row)
        return growth

    def _empty(self, route: str, incarnation: str) -> MoveEvidence:
        return MoveEvidence(move_id=self.move_id, route=route, incarnation=incarnation)
