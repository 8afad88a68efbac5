"""Changes of configuration documents and their possible outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh64_hexdigest

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """Replace the body of a document at an expected revision; 0: create it."""

    name: str
    body: bytes
    expected_revision: int
    change_id: str
    author: str
    reason: str
    # Only a version move may change the current version of an index.
    by_move: bool = False


@dataclass(frozen=True, slots=True)
class DocumentEdit:
    """Derive the new body of a document from its current one."""

    name: str
    change_id: str
    author: str
    reason: str
    # Identifies the request, so that a change id cannot be reused for another one.
    fingerprint: str
    # Called with the current body, None without a document; raises ValueError for a
    # change that is not possible.
    produce: Callable[[bytes | None], bytes]
    # None: the edit applies to any revision.
    expected_revision: int | None = None
    # Error for the same request under another change id; empty: it is allowed.
    duplicate_error: str = ""
    by_move: bool = False

    @classmethod
    def of(cls, change: DocumentChange) -> DocumentEdit:
        """Return the edit that performs a change of the whole body."""
        return cls(
            name=change.name,
            change_id=change.change_id,
            author=change.author,
            reason=change.reason,
            fingerprint=xxh64_hexdigest(change.body),
            produce=lambda _: change.body,
            expected_revision=change.expected_revision,
            by_move=change.by_move,
        )


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Report a change that the store accepted."""

    change_id: str
    revision: int
    in_force: list[str] = field(default_factory=list)
    not_reached: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Report a change that conflicts with an earlier one."""

    change_id: str
    revision: int
    author: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """Report a change that may have been accepted.

    The outcome can be queried, or the change submitted again, by its change id.
    """

    change_id: str
    message: str


@dataclass(frozen=True, slots=True)
class ChangeUnavailable:
    """Report a change that was not accepted because the store is unavailable."""

    change_id: str
    message: str


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """Report a change that violates a rule."""

    change_id: str
    message: str


ChangeOutcome = (
    ChangeAccepted | ChangeConflict | ChangeUnknown | ChangeUnavailable | ChangeInvalid
)
