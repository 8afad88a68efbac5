"""Stored form of a configuration document."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.messages import Document

# A body must fit into one peer frame (1 MiB) and one store value (1 MB).
BODY_BYTES_MAX = 768 << 10
# Number of latest changes in which a repeated change id is recognised.
RECENT_CHANGES_MAX = 128


class RecentChange(BaseModel):
    """Identify a change that the document contains."""

    model_config = ConfigDict(frozen=True)

    change_id: str
    revision: int
    fingerprint: str = ""


class StoredDocument(BaseModel):
    """Hold a document and its latest changes."""

    model_config = ConfigDict(frozen=True)

    name: str
    revision: Annotated[int, Field(ge=1, lt=1 << 62)]
    change_id: str = ""
    author: str = ""
    reason: str = ""
    accepted_unix_ms: int = 0
    body: dict[str, Any]
    recent_changes: list[RecentChange] = []

    def document(self) -> Document:
        """Return the document without the list of changes."""
        return Document(
            name=self.name,
            revision=self.revision,
            change_id=self.change_id,
            author=self.author,
            reason=self.reason,
            accepted_unix_ms=self.accepted_unix_ms,
            # ASCII escapes could make the body larger than the size that was checked.
            body=json.dumps(self.body, ensure_ascii=False).encode(),
        )

    def find_change(self, change_id: str) -> RecentChange | None:
        """Return a change that this document contains, None if it is unknown."""
        for change in self.recent_changes:
            if change.change_id == change_id:
                return change
        if change_id == self.change_id:
            return RecentChange(change_id=change_id, revision=self.revision)
        return None

    def has_fingerprint(self, fingerprint: str) -> bool:
        """Return whether one of the latest changes has this fingerprint."""
        return any(item.fingerprint == fingerprint for item in self.recent_changes)


def encode_stored(
    document: Document,
    *,
    fingerprint: str = "",
    earlier: list[RecentChange] | None = None,
) -> bytes:
    """Return the store value of a document, with its change after earlier ones."""
    own = RecentChange(
        change_id=document.change_id,
        revision=document.revision,
        fingerprint=fingerprint,
    )
    stored = StoredDocument(
        name=document.name,
        revision=document.revision,
        change_id=document.change_id,
        author=document.author,
        reason=document.reason,
        accepted_unix_ms=document.accepted_unix_ms,
        body=decode_json(document.body),
        recent_changes=[*(earlier or []), own][-RECENT_CHANGES_MAX:],
    )
    return stored.model_dump_json().encode()


def decode_stored(value: bytes) -> StoredDocument:
    """Parse a store value.

    Raises ValueError when it is malformed.
    """
    return StoredDocument.model_validate_json(value)
