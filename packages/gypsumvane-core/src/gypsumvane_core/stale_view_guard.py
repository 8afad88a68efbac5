"""Check whether a newly joined daemon may take leaves without acknowledgements."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.view import View


@dataclass(slots=True)
class StaleViewGuard:
    """Determine whether a view from before this daemon joined may still be in use.

    Members of such a view that cannot reach the store confirm it to each other
    without asking later members. They can no longer do so once a member of that
    view has been alive under a newer one for longer than the grace period for
    gone members.
    """

    incarnation: str
    gone_grace_s: float
    settled: bool = False
    _joined_epoch: int = 0
    _first_answer_s: dict[str, float] = field(default_factory=dict)

    def adopt(self, view: View) -> None:
        """Start over if this incarnation has joined again in a newer view."""
        own = (m for m in view.members if m.incarnation == self.incarnation)
        joined = next((m.joined_epoch for m in own), 0)
        if joined != self._joined_epoch:
            self._joined_epoch = joined
            self.settled = False
            self._first_answer_s.clear()

    def record_handover(self) -> None:
        """Record that all other incarnations acknowledged the view or ended."""
        self.settled = True

    def record_answer(
        self,
        view: View,
        incarnation: str,
        *,
        epoch: int,
        settled: bool,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Record an answer; settles once a settled older member answers long enough."""
        if epoch < self._joined_epoch or not settled or not self._joined_epoch:
            return
        peers = (m for m in view.members if m.incarnation == incarnation)
        older = any(m.joined_epoch < self._joined_epoch for m in peers)
        if not older:
            return
        first_s = self._first_answer_s.setdefault(incarnation, now_s)
        if sent_at_s - first_s > self.gone_grace_s:
            self.settled = True
