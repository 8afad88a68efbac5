"""JSON responses of the operator API."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from aiohttp.web import Response
from aiohttp.web import json_response

from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeConflict
from gypsumvane_core.document_change import ChangeInvalid
from gypsumvane_core.document_change import ChangeOutcome
from gypsumvane_core.document_change import ChangeUnavailable
from gypsumvane_core.document_change import ChangeUnknown

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumvane_core.messages import Document
    from gypsumvane_daemon.applied_documents import RevisionInForce
    from gypsumvane_daemon.document_replicator import PeerRevision

_OUTCOMES: dict[type, tuple[int, str]] = {
    ChangeAccepted: (200, "accepted"),
    ChangeConflict: (409, "conflict"),
    ChangeUnknown: (504, "unknown"),
    ChangeUnavailable: (503, "unavailable"),
    ChangeInvalid: (400, "invalid"),
}


def change_response(
    outcome: ChangeOutcome, *, warnings: Sequence[str] = ()
) -> Response:
    """Return the outcome of a change as JSON, with warnings if it was accepted."""
    status, kind = _OUTCOMES[type(outcome)]
    payload = {"outcome": kind, **asdict(outcome)}
    if warnings and isinstance(outcome, ChangeAccepted):
        payload["warnings"] = list(warnings)
    return json_response(payload, status=status)


def document_summary(
    document: Document, in_force: RevisionInForce | None
) -> dict[str, Any]:
    """Return the fields of a document without its body."""
    return {
        "name": document.name,
        "revision": document.revision,
        "change_id": document.change_id,
        "author": document.author,
        "reason": document.reason,
        "accepted_unix_ms": document.accepted_unix_ms,
        "in_force_since_unix_ms": 0 if in_force is None else in_force.since_unix_ms,
    }


def revision_json(item: PeerRevision) -> dict[str, Any]:
    """Return the revision in force on one VM as JSON fields."""
    state = item.state
    if state is None:
        return {"vm_id": item.vm_id, "reached": False}
    return {
        "vm_id": item.vm_id,
        "reached": True,
        "revision": state.revision,
        "change_id": state.change_id,
        "in_force_since_unix_ms": state.in_force_since_unix_ms,
    }
