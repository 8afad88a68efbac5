"""Objects, results and errors of the object store."""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """Raised for a call to the store that got no usable answer.

    ``may_have_applied`` is False only when the store certainly did not apply
    the change.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class WatchGapError(StoreError):
    """Raised for a watch that cannot continue from its version."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Object with its value and version."""

    key: str
    value: bytes
    version: int
    # Local monotonic time before the read was sent.
    read_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """Changed object; the value is None when it was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Changed or listed objects and the version of the store."""

    version: int
    objects: list[ObjectChange]
    # Local monotonic time before the request was sent.
    sent_at_s: float


@dataclass(frozen=True, slots=True)
class Written:
    """Result of a write that was applied."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a write whose condition did not hold."""


PutResult = Written | Conflict


@dataclass(frozen=True, slots=True)
class StoreCallCount:
    """Number of calls of one kind with one result."""

    kind: str
    result: str
    calls: int
