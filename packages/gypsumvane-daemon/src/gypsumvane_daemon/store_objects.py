"""Objects, results and errors of the object store."""

from __future__ import annotations

from dataclasses import dataclass


class StoreError(Exception):
    """Report a call to the store that got no usable answer.

    ``may_have_applied`` is False only when the store certainly did not make
    the change.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class WatchGapError(StoreError):
    """Report a watch that cannot continue from its version."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Carry one object."""

    key: str
    value: bytes
    version: int
    # Local monotonic time from before the read was sent.
    read_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """Carry a changed object; the value is None when it was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Carry changed objects and the version of the store."""

    version: int
    objects: list[ObjectChange]
    # Local monotonic time from before the request was sent.
    sent_at_s: float


@dataclass(frozen=True, slots=True)
class Written:
    """Report a write that took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report a write whose condition did not hold."""


PutResult = Written | Conflict


@dataclass(frozen=True, slots=True)
class StoreCallCount:
    """Count calls of one kind with one result."""

    kind: str
    result: str
    calls: int
