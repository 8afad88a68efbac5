"""Conditional writes of configuration documents to the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.document import parse_body
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeConflict
from gypsumvane_core.document_change import ChangeInvalid
from gypsumvane_core.document_change import ChangeOutcome
from gypsumvane_core.document_change import ChangeUnavailable
from gypsumvane_core.document_change import ChangeUnknown
from gypsumvane_core.document_edits import check_replacement
from gypsumvane_core.messages import Document
from gypsumvane_core.stored_document import BODY_BYTES_MAX
from gypsumvane_core.stored_document import StoredDocument
from gypsumvane_core.stored_document import decode_stored
from gypsumvane_core.stored_document import encode_stored
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_change import DocumentEdit
    from gypsumvane_core.stored_document import RecentChange
    from gypsumvane_daemon.applied_documents import AppliedDocuments
    from gypsumvane_daemon.store_client import StoreClient

DOCUMENTS_PREFIX = "config/documents/"
ATTEMPTS_MAX = 8
REASON_LENGTH_MIN = 3


@dataclass(frozen=True, slots=True)
class _DocumentState:
    """Stored version and newest known revision of a document."""

    version: int | None
    stored: StoredDocument | None
    revision: int

    @property
    def body(self) -> bytes | None:
        if self.stored is None:
            return None
        return self.stored.document().body


class DocumentSubmission:
    """Write edits to the store; documents are changed in no other way."""

    def __init__(
        self, store: StoreClient, applied: AppliedDocuments, clock: Clock
    ) -> None:
        self._store = store
        self._applied = applied
        self._clock = clock

    async def run(self, edit: DocumentEdit) -> ChangeOutcome:
        """Write an edit at most once and apply the stored document.

        Retries after a lost race, up to ATTEMPTS_MAX attempts.
        """
        problem = _metadata_problem(edit)
        if problem:
            return ChangeInvalid(change_id=edit.change_id, message=problem)
        for _ in range(ATTEMPTS_MAX):
            try:
                current = await self._read(edit.name)
            except StoreError as error:
                return ChangeUnavailable(change_id=edit.change_id, message=str(error))
            outcome = await self._attempt(edit, current)
            if outcome is not None:
                return outcome
        return _conflict(edit, current)

    async def find(self, name: str, change_id: str) -> RecentChange | None:
        """Return the change from the store, None when it holds no such change.

        Raises StoreError.
        """
        current = await self._read(name)
        return None if current.stored is None else current.stored.find_change(change_id)

    async def _read(self, name: str) -> _DocumentState:
        found = await self._store.get(DOCUMENTS_PREFIX + name)
        applied = self._applied.in_force(name)
        applied_revision = 0 if applied is None else applied.revision
        if found is None:
            return _DocumentState(version=None, stored=None, revision=applied_revision)
        try:
            stored = decode_stored(found.value)
        except ValueError as error:
            # A malformed value is replaced by the next change.
            self._applied.report_rejected(name, source="store", problem=str(error))
            return _DocumentState(
                version=found.version, stored=None, revision=applied_revision
            )
        self._applied.apply(stored.document(), source="store")
        return _DocumentState(
            version=found.version,
            stored=stored,
            revision=max(stored.revision, applied_revision),
        )

    async def _attempt(
        self, edit: DocumentEdit, current: _DocumentState
    ) -> ChangeOutcome | None:
        """Return the outcome, None after a lost race that can be retried."""
        earlier = None
        if current.stored is not None:
            earlier = current.stored.find_change(edit.change_id)
        if earlier is not None:
            return _outcome_of_repeat(edit, earlier)
        if edit.expected_revision not in (None, current.revision):
            return _conflict(edit, current)
        if edit.duplicate_error and _has_same_edit(edit, current):
            message = edit.duplicate_error
            return ChangeInvalid(change_id=edit.change_id, message=message)
        try:
            body = edit.produce(current.body)
            document = self._document(edit, revision=current.revision + 1, body=body)
            parse_body(document.name, document.body)
            check_replacement(
                document.name, current.body, document.body, by_move=edit.by_move
            )
        except ValueError as error:
            return ChangeInvalid(
                change_id=edit.change_id, message=format_validation_error(error)
            )
        if len(body) > BODY_BYTES_MAX:
            message = f"body of {len(body)} bytes exceeds limit of {BODY_BYTES_MAX}"
            return ChangeInvalid(change_id=edit.change_id, message=message)
        return await self._write(edit, current, document)

    async def _write(
        self, edit: DocumentEdit, current: _DocumentState, document: Document
    ) -> ChangeOutcome | None:
        earlier = [] if current.stored is None else current.stored.recent_changes
        value = encode_stored(document, fingerprint=edit.fingerprint, earlier=earlier)

        def contains_change(found: bytes) -> bool:
            try:
                return decode_stored(found).find_change(edit.change_id) is not None
            except ValueError:
                return False

        try:
            result = await self._store.put_confirmed(
                DOCUMENTS_PREFIX + edit.name,
                value,
                expected_version=current.version,
                contains_change=contains_change,
            )
        except StoreError as error:
            if error.may_have_applied:
                return ChangeUnknown(change_id=edit.change_id, message=str(error))
            return ChangeUnavailable(change_id=edit.change_id, message=str(error))
        if not isinstance(result, Written):
            return None
        # Decoding the stored value makes all daemons apply the same bytes.
        self._applied.apply(decode_stored(value).document(), source="operator")
        return ChangeAccepted(change_id=edit.change_id, revision=document.revision)

    def _document(self, edit: DocumentEdit, *, revision: int, body: bytes) -> Document:
        return Document(
            name=edit.name,
            revision=revision,
            change_id=edit.change_id,
            author=edit.author,
            reason=edit.reason,
            accepted_unix_ms=int(self._clock.unix_s() * 1000),
            body=body,
        )


def format_validation_error(error: ValueError) -> str:
    """Return a validation error as one line with each key and its rule."""
    details = getattr(error, "errors", None)
    if details is None:
        return str(error)
    lines = []
    for item in details():
        key = ".".join(str(part) for part in item["loc"]) or "document"
        lines.append(f"{key}: {item['msg']}")
    return "; ".join(lines)


def _metadata_problem(edit: DocumentEdit) -> str:
    if not edit.change_id or len(edit.change_id) > 128:
        return "change_id must have 1 to 128 characters"
    if not edit.author:
        return "author is missing"
    if len(edit.reason.strip()) < REASON_LENGTH_MIN:
        return f"reason must have at least {REASON_LENGTH_MIN} characters"
    return ""


def _outcome_of_repeat(edit: DocumentEdit, earlier: RecentChange) -> ChangeOutcome:
    if earlier.fingerprint not in ("", edit.fingerprint):
        message = f"change id already used by revision {earlier.revision}"
        return ChangeInvalid(change_id=edit.change_id, message=message)
    return ChangeAccepted(change_id=edit.change_id, revision=earlier.revision)


def _has_same_edit(edit: DocumentEdit, current: _DocumentState) -> bool:
    return current.stored is not None and current.stored.has_fingerprint(
        edit.fingerprint
    )


def _conflict(edit: DocumentEdit, current: _DocumentState) -> ChangeConflict:
    stored = current.stored
    return ChangeConflict(
        change_id=edit.change_id,
        revision=current.revision,
        author="" if stored is None else stored.author,
        reason="" if stored is None else stored.reason,
    )
