"""Bounded request queue in front of an upstream."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from gypsumvane_core.priority import Priority

ItemType = TypeVar("ItemType")


@dataclass(order=True, slots=True)
class QueueEntry(Generic[ItemType]):
    """Order a request by priority, deadline and arrival."""

    priority: Priority
    deadline_s: float
    sequence: int
    item: ItemType = field(compare=False)


class LeafQueue(Generic[ItemType]):
    """Hold waiting requests in the order in which they will run."""

    def __init__(self, entries_max: int) -> None:
        self.entries_max = entries_max
        self._entries: list[QueueEntry[ItemType]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(
        self, item: ItemType, *, priority: Priority, deadline_s: float
    ) -> ItemType | None:
        """Add a request and return the request that overflows the queue, if any."""
        self._sequence += 1
        insort(
            self._entries, QueueEntry(priority, deadline_s, self._sequence, item=item)
        )
        if len(self._entries) <= self.entries_max:
            return None
        return self._entries.pop().item

    def count_ahead(self, priority: Priority, deadline_s: float) -> int:
        """Return how many waiting requests would run before a request like this."""
        key = (priority, deadline_s)
        return sum((e.priority, e.deadline_s) <= key for e in self._entries)

    def pop(self) -> ItemType | None:
        """Remove and return the first request, None if the queue is empty."""
        return self._entries.pop(0).item if self._entries else None

    def drop_unfinishable(self, now_s: float, service_time_s: float) -> list[ItemType]:
        """Remove and return the requests that cannot finish before their deadline."""
        limit_s = now_s + service_time_s
        if all(entry.deadline_s > limit_s for entry in self._entries):
            return []
        late = [e.item for e in self._entries if e.deadline_s <= limit_s]
        self._entries = [e for e in self._entries if e.deadline_s > limit_s]
        return late

    def remove(self, item: ItemType) -> bool:
        """Remove a request and return whether it was waiting."""
        for index, entry in enumerate(self._entries):
            if entry.item is item:
                del self._entries[index]
                return True
        return False

    def clear(self) -> list[ItemType]:
        """Remove and return all requests."""
        items = [entry.item for entry in self._entries]
        self._entries.clear()
        return items
