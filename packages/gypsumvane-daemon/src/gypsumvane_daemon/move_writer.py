"""Writing of the end of a move to its document and to that of its index."""

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
    """Write an ended state and the current version by conditional updates."""

    def __init__(self, documents: DocumentsPort, *, vm_id: str) -> None:
        self._documents = documents
        self._vm_id = vm_id
        # Moves whose current version was refused; each is logged once.
        self._logged_refusals: set[str] = set()

    def is_recorded(self, move: MoveDocument) -> bool:
        """Return whether the index document names the version of an ended move."""
        return move.index_revision > 0 or not self._has_final_version(move, move.state)

    async def write(
        self, index: str, move_id: str, state: MoveState, reason: str
    ) -> bool:
        """Return whether both documents now have the end.

        The index document is written first: a move is reported as done only
        when its version is the current one. A change that lost or found no
        store is tried again by the caller, once a newer revision is applied or
        the store is back.
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
            # Without leaves of its version a running move has moved nothing.
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
                # A repeat of the same write by any daemon is the same change.
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
        """Return whether the index has leaves of the version the move ends with."""
        index = self._documents.catalogue.index(move.index)
        return index is not None and index.has_version(resulting_version(move, state))

    async def _set_current_version(
        self, move: MoveDocument, state: MoveState, reason: str
    ) -> int:
        """Return the revision of the index that names the version, 0 for none."""
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
