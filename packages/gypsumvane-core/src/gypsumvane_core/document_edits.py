"""Edits of configuration documents that depend on the current body."""

from __future__ import annotations

from gypsumvane_core.document import INDEX_PREFIX
from gypsumvane_core.document import MOVE_PREFIX
from gypsumvane_core.document_models import DomainOut
from gypsumvane_core.document_models import DomainsDocument
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.move_transitions import is_allowed_transition
from gypsumvane_core.version_in_force import version_in_force


def take_domain_out(body: bytes | None, entry: DomainOut) -> bytes:
    """Add a failure domain; the entry of one that is already out is replaced."""
    others = _other_domains_out(body, entry.failure_domain)
    return _encode_domains([*others, entry])


def bring_domain_in(body: bytes | None, failure_domain: str) -> bytes:
    """Remove a failure domain.

    Raises ValueError when it is not out.
    """
    current = _parse_domains(body)
    if failure_domain not in current.out_names():
        raise ValueError(f"failure domain {failure_domain} is not out")
    return _encode_domains(_other_domains_out(body, failure_domain))


def start_move(
    body: bytes | None,
    move: MoveDocument,
    *,
    index: IndexDocument | None = None,
    index_revision: int = 0,
) -> bytes:
    """Start a move in place of a finished one.

    Raises ValueError while a move is running, and for a move that does not
    start at the current version of the index.
    """
    current = None
    if body is not None:
        current = MoveDocument.model_validate_json(body)
        if current.state is MoveState.RUNNING:
            raise ValueError(f"move {current.move_id} is running")
        if current.move_id == move.move_id:
            raise ValueError(f"move {move.move_id} is {current.state.value} already")
    version = version_in_force(index, index_revision, current)
    if version and version != move.from_version:
        raise ValueError(
            f"from_version {move.from_version} is not the current version of "
            f"{move.index}, which is {version}"
        )
    return move.model_dump_json().encode()


def take_back_move(body: bytes | None, *, move_id: str, reason: str) -> bytes:
    """Record that a move is taken back.

    Raises ValueError when there is no move or the current one has another id.
    """
    if body is None:
        raise ValueError("there is no move")
    current = MoveDocument.model_validate_json(body)
    if move_id and current.move_id != move_id:
        raise ValueError(f"the current move is {current.move_id}")
    taken_back = current.model_copy(
        update={
            "state": MoveState.TAKEN_BACK,
            "state_reason": reason,
            # The index document names the version of a move that was done.
            "index_revision": 0,
        }
    )
    return taken_back.model_dump_json().encode()


def check_replacement(
    name: str, old_body: bytes | None, new_body: bytes, *, by_move: bool = False
) -> None:
    """Check that a new body keeps what a move has recorded.

    Raises ValueError when it does not.
    """
    if old_body is None:
        return
    if name.startswith(INDEX_PREFIX) and not by_move:
        _check_current_version(old_body, new_body)
    if name.startswith(MOVE_PREFIX):
        _check_move(old_body, new_body)


def _check_current_version(old_body: bytes, new_body: bytes) -> None:
    """Refuse an index document that sends all traffic to another version at once."""
    try:
        old = IndexDocument.model_validate_json(old_body)
    except ValueError:
        return
    new = IndexDocument.model_validate_json(new_body)
    if old.current_version and new.current_version != old.current_version:
        raise ValueError(
            f"current_version must stay {old.current_version}; only a version move "
            f"changes it"
        )


def _check_move(old_body: bytes, new_body: bytes) -> None:
    try:
        old = MoveDocument.model_validate_json(old_body)
    except ValueError:
        return
    new = MoveDocument.model_validate_json(new_body)
    if old.move_id != new.move_id or is_allowed_transition(old.state, new.state):
        return
    if old.state is MoveState.TAKEN_BACK:
        raise ValueError(f"move {old.move_id} is taken back; this is final")
    raise ValueError(f"move {old.move_id} is {old.state.value}")


def _parse_domains(body: bytes | None) -> DomainsDocument:
    if body is None:
        return DomainsDocument()
    return DomainsDocument.model_validate_json(body)


def _other_domains_out(body: bytes | None, failure_domain: str) -> list[DomainOut]:
    return [
        entry
        for entry in _parse_domains(body).out
        if entry.failure_domain != failure_domain
    ]


def _encode_domains(out: list[DomainOut]) -> bytes:
    return DomainsDocument(out=out).model_dump_json().encode()
