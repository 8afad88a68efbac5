"""Writing of the end of a move to its document."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gypsumvane_core.document import MOVE_PREFIX
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import DocumentChange

if TYPE_CHECKING:
    from gypsumvane_core.document_models import MoveState
    from gypsumvane_daemon.service_ports import DocumentsPort

logger = logging.getLogger(__name__)


class MoveWriter:
    """Write an ended state by a conditional update."""

    def __init__(self, documents: DocumentsPort, *, vm_id: str) -> None:
        self._documents = documents
        self._vm_id = vm_id

    async def write(
        self, index: str, move_id: str, state: MoveState, reason: str
    ) -> bool:
        """Return whether the document now has the state.

        A change that lost or found no store is tried again by the caller, once
        a newer revision is applied or the store is back.
        """
        name = MOVE_PREFIX + index
        document = self._documents.catalogue.get(name)
        move = self._documents.catalogue.move(index)
        if document is None or move is None or move.move_id != move_id:
            return True
        if move.state is state:
            return True
        ended = move.model_copy(update={"state": state, "state_reason": reason})
        outcome = await self._documents.submit(
            DocumentChange(
                name=name,
                body=ended.model_dump_json().encode(),
                expected_revision=document.revision,
                # A repeat of the same write by any daemon is the same change.
                change_id=f"{move_id}-{state.value}-{document.revision}",
                author=self._vm_id,
                reason=reason,
            )
        )
        if isinstance(outcome, ChangeAccepted):
            logger.info(
                "move ended", extra={"move_id": move_id, "move_state": state.value}
            )
            return True
        return False
