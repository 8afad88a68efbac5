"""Copy of the objects of one kind and their recent changes, served to peers."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.store_feed import FeedListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.routing.change_period import ChangePeriod
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList

Value = TypeVar("Value")

# Peers watch every second, so a short history suffices. A peer that needs older
# changes reads the full list.
HISTORY_CHANGES_MAX = 2000

Change = tuple[str, Any]


class FeedMirror(FeedListener[Value], Generic[Value]):
    """Record what a feed reads, by store revision, and pass it to a listener."""

    def __init__(self, listener: FeedListener[Value]) -> None:
        self._listener = listener
        self._payloads: dict[str, Any] = {}
        self._history: deque[tuple[int, str, Any]] = deque()
        # The history lacks changes up to this revision.
        self._history_start = 0
        self.revision = 0
        # Returns the time since the store last confirmed this kind.
        self.confirmed_age_s: Callable[[], float] = lambda: math.inf
        # Returns whether entries that expired in an outage may still be missing.
        self.after_outage: Callable[[], bool] = lambda: False
        self._changed = asyncio.Event()

    def on_list(self, listing: RecordList[Value], period: ChangePeriod) -> None:
        """Replace the copy and start a new history."""
        self._payloads = {record.name: record.payload for record in listing.records}
        self._history.clear()
        self._history_start = listing.revision
        self._advance(listing.revision)
        self._listener.on_list(listing, period)

    def on_changes(self, changes: RecordChanges[Value], period: ChangePeriod) -> None:
        """Apply changes to the copy and append them to the history."""
        for name, record in changes.changes:
            payload = None if record is None else record.payload
            if record is None:
                self._payloads.pop(name, None)
            else:
                self._payloads[name] = payload
            self._history.append((changes.revision, name, payload))
        while len(self._history) > HISTORY_CHANGES_MAX:
            self._history_start = self._history.popleft()[0]
        self._advance(changes.revision)
        self._listener.on_changes(changes, period)

    def objects(self) -> list[Change]:
        """Return all objects of the copy as pairs of name and payload."""
        return list(self._payloads.items())

    async def changes(self, revision: int, wait_s: float) -> tuple[list[Change], int]:
        """Return the changes since a revision and the revision that they lead to.

        Waits up to wait_s for a change if there is none. The given revision may be
        above that of the copy, because changes of other kinds raise the store's
        revision too. Raises HistoryLostError if the history does not reach back to
        the revision.
        """
        if revision >= self.revision:
            await wait_for_event(self._changed, timeout_s=wait_s)
        # The history is read even after a time-out, because a change may have arrived
        # at the same time.
        if revision < self._history_start:
            raise HistoryLostError(f"changes since revision {revision} are not kept")
        changes = [
            (name, payload) for at, name, payload in self._history if at > revision
        ]
        # The revision that a peer continues from must never decrease.
        return changes, max(revision, self.revision)

    def _advance(self, revision: int) -> None:
        self.revision = revision
        self._changed.set()
        self._changed = asyncio.Event()
