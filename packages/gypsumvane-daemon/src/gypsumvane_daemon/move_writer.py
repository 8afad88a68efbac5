"""Writes of a move's final state to the move and index documents."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gypsumvane_core.document import INDEX_PREFIX
from gypsumvane_core.document import MOVE_PREFIX
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeInvalid
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.version_in_force import resulting_version

if TYPE_CHECKING:
    from gypsumvane_core.document_models import MoveDocument
    from gypsumvane_daemon.service_ports import DocumentsPort

logger = logging.getLogger(__name__)


class MoveWriter:
    """Write the final state and the current version by conditional updates."""

    def __init__(self, documents: DocumentsPort, *, vm_id: str) -> None:
        self._documents = documents
        self._vm_id = vm_id
        # Moves whose rejected current version was logged, so that it is logged once.
        self._logged_refusals: set[str] = set()

    def is_recorded(self, move: MoveDocument) -> bool:
        """Return whether the index document has the final version of a move.

        Also true when the index has no leaves of that version.
        """
        return move.index_revision > 0 or not self._has_final_version(move, move.state)

    async def write(
        self, index: str, move_id: str, state: MoveState, reason: str
    ) -> bool:
        """Write the final state; return whether both documents have it now.

        The index document is written first, because a move is reported as done
        only when its version is the current one. The caller retries a change
        that met a conflict or an unavailable store, once a newer revision is
        applied or the store is available again.
        """
        name = MOVE_PREFIX + index
        document = self._documents.catalogue.get(name)
        move = self._documents.catalogue.move(index)
        if document is None or move is None or move.move_id != move_id:
            return True
        if move.state is state and self.is_recorded(move):
            return True
        index_known = self._documents.catalogue.index(index) is not None
        if (
            state is MoveState.DONE
            and index_known
            and not self._has_final_version(move, state)
        ):
            # Without leaves of the new version no traffic was moved.
            return False
        revision = 0
        if self._has_final_version(move, state):
            revision = await self._set_current_version(move, state, reason)
            if revision == 0 and (state is MoveState.DONE or move.state is state):
                return False
        ended = move.model_copy(
            update={"state": state, "state_reason": reason, "index_revision": revision}
        )
        outcome = await self._documents.submit(
            DocumentChange(
                name=name,
                body=ended.model_dump_json().encode(),
                expected_revision=document.revision,
                # The same write by any daemon has the same change id.
                change_id=f"{move_id}-{state.value}-{document.revision}-{revision}",
                author=self._vm_id,
                reason=reason,
            )
        )
        if not isinstance(outcome, ChangeAccepted):
            return False
        if move.state is not state:
            logger.info(
                "final state of the version move written",
                extra={"move_id": move_id, "move_state": state.value},
            )
        return True

    def _has_final_version(self, move: MoveDocument, state: MoveState) -> bool:
        """Return whether the index has leaves of the move's final version."""
        index = self._documents.catalogue.index(move.index)
        return index is not None and index.has_version(resulting_version(move, state))

    async def _set_current_version(
        self, move: MoveDocument, state: MoveState, reason: str
    ) -> int:
        """Set the current version of the index to the move's final version.

        Returns the revision of the index document with that version, 0 if the
        write did not succeed.
        """
        name = INDEX_PREFIX + move.index
        document = self._documents.catalogue.get(name)
        index = self._documents.catalogue.index(move.index)
        if document is None or index is None:
            return 0
        version = resulting_version(move, state)
        if index.current_version == version:
            return document.revision
        updated = index.model_copy(update={"current_version": version})
        outcome = await self._documents.submit(
            DocumentChange(
                name=name,
                body=updated.model_dump_json().encode(),
                expected_revision=document.revision,
                change_id=f"{move.move_id}-{state.value}-{document.revision}",
                author=self._vm_id,
                reason=reason,
                by_move=True,
            )
        )
        if isinstance(outcome, ChangeAccepted):
            return outcome.revision
        if (
            isinstance(outcome, ChangeInvalid)
            and move.move_id not in self._logged_refusals
        ):
            self._logged_refusals.add(move.move_id)
            logger.warning(
                "update of the current version rejected; retrying",
                extra={"move_id": move.move_id, "cause": outcome.message},
            )
        return 0
