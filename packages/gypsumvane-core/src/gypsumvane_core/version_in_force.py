"""Version of an index that gets the requests while no move is running."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.document_models import MoveState

if TYPE_CHECKING:
    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import MoveDocument


def resulting_version(move: MoveDocument, state: MoveState) -> str:
    """Return the version that is current after a move that ended in this state."""
    return move.to_version if state is MoveState.DONE else move.from_version


def version_in_force(
    index: IndexDocument | None,
    index_revision: int,
    move: MoveDocument | None,
    state: MoveState | None = None,
) -> str:
    """Return the version that gets the requests, empty for all versions.

    ``state`` is the state of the move as this daemon applies it, if it differs
    from the document. Documents arrive in any order, so an ended move counts
    until the index document has the revision that names its version.
    """
    current = "" if index is None else index.current_version
    if move is None:
        return current
    state = state or move.state
    if state is MoveState.RUNNING:
        return current
    recorded = state is move.state and 0 < move.index_revision <= index_revision
    if recorded and current:
        return current
    version = resulting_version(move, state)
    if index is not None and not index.has_version(version):
        # The leaves have been replaced since the move ended.
        return current
    return version
