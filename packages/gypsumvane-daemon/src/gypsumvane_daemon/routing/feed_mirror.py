"""A copy of the objects of one kind, for peers that do not ask the store."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.store_feed import FeedListener

if TYPE_CHECKING:
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList

Value = TypeVar("Value")

# Peers watch each second; older changes are read as a whole list.
HISTORY_CHANGES_MAX = 2000

Change = tuple[str, Any]


class FeedMirror(FeedListener[Value], Generic[Value]):
    """Keep payloads and changes by the store's revisions, and pass them on."""

    def __init__(self, listener: FeedListener[Value]) -> None:
        self._listener = listener
        self._payloads: dict[str, Any] = {}
        self._history: deque[tuple[int, str, Any]] = deque()
        # Changes up to this revision are no longer in the history.
        self._history_start = 0
        self.revision = 0
        self._changed = asyncio.Event()

    def on_list(self, listing: RecordList[Value], *, after_outage: bool) -> None:
        """Take a complete list; the history begins with it."""
        self._payloads = {record.name: record.payload for record in listing.records}
        self._history.clear()
        self._history_start = listing.revision
        self._advance(listing.revision)
        self._listener.on_list(listing, after_outage=after_outage)

    def on_changes(self, changes: RecordChanges[Value]) -> None:
        """Take changes in order."""
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
        self._listener.on_changes(changes)

    def objects(self) -> list[Change]:
        """Return all objects as they are now."""
        return list(self._payloads.items())

    async def changes(self, revision: int, wait_s: float) -> tuple[list[Change], int]:
        """Return the changes since a revision and the revision that they reach.

        Without a change the answer comes after wait_s.

        The revision may be above this copy's: the store's revision grows with
        changes of other kinds too, and a watch that waits brings each change of
        its own kind at once. Raises HistoryLostError.
        """
        if revision >= self.revision:
            await wait_for_event(self._changed, timeout_s=wait_s)
        # A change may have come together with the end of the wait.
        if revision < self._history_start:
            raise HistoryLostError(f"changes since {revision}")
        changes = [
            (name, payload) for at, name, payload in self._history if at > revision
        ]
        # A peer does not go back behind what it knows.
        return changes, max(revision, self.revision)

    def _advance(self, revision: int) -> None:
        self.revision = revision
        self._changed.set()
        self._changed = asyncio.Event()
