"""Authority of a daemon over leaves, derived from views and acknowledgements."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.authority_grade import AuthorityGrade
from gypsumvane_core.home_table import HomeTable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumvane_core.gone_incarnations import GoneIncarnations
    from gypsumvane_core.messages import Member
    from gypsumvane_core.view import View

# Bounds the views kept while an incarnation has not acknowledged the latest one.
HISTORY_MAX = 64


@dataclass(slots=True)
class Authority:
    """Grade the authority by the consecutive views since the last full handover."""

    incarnation: str
    gone: GoneIncarnations
    # How long a new home waits after it learns of an epoch.
    takeover_wait_s: float
    adopted_at_s: float = 0.0
    # Whether all other incarnations acknowledged the first view of the history.
    _handed_over: bool = False
    # Consecutive epochs; the last one is the current view.
    _history: list[View] = field(default_factory=list)
    _tables: list[HomeTable] = field(default_factory=list)

    def adopt(self, view: View, now_s: float) -> None:
        """Append a newer view to the history, or restart the history after a gap."""
        last = self._tables[-1] if self._tables else None
        table = HomeTable(view) if last is None else last.next_table(view)
        consecutive = last is not None and last.view.epoch + 1 == view.epoch
        if not consecutive or len(self._history) >= HISTORY_MAX:
            self._restart()
        self._history.append(view)
        self._tables.append(table)
        self.adopted_at_s = now_s

    def update(self, acknowledged: Mapping[str, int]) -> bool:
        """Return whether the handover to the current view is complete.

        It is once every other incarnation that could hold a leaf under an older
        view has released it or ended. The older views are then dropped.
        """
        if not self._history:
            return False
        view = self._history[-1]
        if self._handed_over and len(self._history) == 1:
            return True
        for other in view.others(self.incarnation):
            acknowledged_epoch = acknowledged.get(other.incarnation, 0)
            ended = other.incarnation in self.gone.ended
            if acknowledged_epoch < view.epoch and not ended:
                return False
        del self._history[:-1]
        del self._tables[:-1]
        self._handed_over = True
        return True

    def home_of(self, leaf_id: str) -> Member | None:
        """Return the home of a leaf in the current view."""
        return self._home(len(self._history) - 1, leaf_id) if self._history else None

    def grade(
        self, leaf_id: str, *, now_s: float, confirmed: bool, settled: bool
    ) -> AuthorityGrade:
        """Return the grade of this daemon's authority over a leaf."""
        if not self._history or not self._is_home(len(self._history) - 1, leaf_id):
            return AuthorityGrade.NONE
        if self._holds_full(leaf_id):
            return AuthorityGrade.FULL if confirmed else AuthorityGrade.UNCONFIRMED
        waited = now_s - self.adopted_at_s >= self.takeover_wait_s
        return (
            AuthorityGrade.HALF
            if waited and confirmed and settled
            else AuthorityGrade.NONE
        )

    def _holds_full(self, leaf_id: str) -> bool:
        positions = range(len(self._history))
        return self._handed_over and all(
            self._is_home(position, leaf_id) for position in positions
        )

    def _is_home(self, position: int, leaf_id: str) -> bool:
        home = self._home(position, leaf_id)
        return home is not None and home.incarnation == self.incarnation

    def _restart(self) -> None:
        self._history.clear()
        self._tables.clear()
        self._handed_over = False

    def _home(self, position: int, leaf_id: str) -> Member | None:
        return self._tables[position].home_of(leaf_id, self.gone.ended)
