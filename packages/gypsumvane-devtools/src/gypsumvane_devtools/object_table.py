"""Versioned objects of the store stand-in."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """Hold the newest version of a key; the value is None when deleted."""

    key: str
    version: int
    value: bytes | None


@dataclass(slots=True)
class ObjectTable:
    """Store objects; each write gets the next version of the whole table."""

    version: int = 0
    _objects: dict[str, ObjectVersion] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def get(self, key: str) -> ObjectVersion | None:
        """Return an object that exists."""
        found = self._objects.get(key)
        return found if found is not None and found.value is not None else None

    def write(
        self, key: str, value: bytes | None, *, expected_version: int | None
    ) -> int | None:
        """Write if the version is the expected one; None expects no object.

        Return the new version, or None on a conflict.
        """
        current = self.get(key)
        current_version = current.version if current is not None else None
        if current_version != expected_version:
            return None
        self.version += 1
        self._objects[key] = ObjectVersion(key, self.version, value)
        self.notify_waiters()
        return self.version

    def list_objects(self, prefix: str) -> list[ObjectVersion]:
        """Return the existing objects below a prefix, ordered by key."""
        found = [
            entry
            for entry in self._objects.values()
            if entry.key.startswith(prefix) and entry.value is not None
        ]
        return sorted(found, key=lambda entry: entry.key)

    def changes(self, prefix: str, *, after: int) -> list[ObjectVersion]:
        """Return the objects changed after a version, deleted ones included."""
        found = [
            entry
            for entry in self._objects.values()
            if entry.version > after and entry.key.startswith(prefix)
        ]
        return sorted(found, key=lambda entry: entry.version)

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Return after the next call of `notify_waiters`."""
        await self._changed.wait()
