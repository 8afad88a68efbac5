"""Operator API routes of version moves."""

from __future__ import annotations

from dataclasses import asdict
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from aiohttp.web import Response
from aiohttp.web import json_response
from xxhash import xxh64_hexdigest

from gypsumvane_core.document import INDEX_PREFIX
from gypsumvane_core.document import MOVE_PREFIX
from gypsumvane_core.document_change import DocumentEdit
from gypsumvane_core.document_edits import start_move
from gypsumvane_core.document_edits import take_back_move
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_daemon.document_submission import format_validation_error
from gypsumvane_daemon.operator_errors import OperatorError
from gypsumvane_daemon.operator_errors import read_model
from gypsumvane_daemon.operator_models import MoveStart
from gypsumvane_daemon.operator_models import MoveTakeBack
from gypsumvane_daemon.operator_models import ReasonedChange
from gypsumvane_daemon.operator_responses import change_response
from gypsumvane_daemon.operator_responses import document_summary
from gypsumvane_daemon.operator_responses import revision_json
from gypsumvane_daemon.optional_services import find_optional

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web import Request
    from aiohttp.web import UrlDispatcher

    from gypsumvane_daemon.document_service import DocumentService
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.optional_services import MovesPort


class MoveRoutes:
    """Start, show and take back version moves."""

    def __init__(
        self, documents: Callable[[], DocumentService], kernel: Kernel
    ) -> None:
        self._documents = documents
        self._kernel = kernel

    def add_to(self, router: UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/v1/moves", self._list)
        router.add_get("/v1/moves/{index}", self._show)
        router.add_post("/v1/moves/{index}/start", self._start)
        router.add_post("/v1/moves/{index}/take-back", self._take_back)

    async def _list(self, request: Request) -> Response:
        moves = self._documents().catalogue.moves()
        return json_response(
            {"moves": [move.model_dump(mode="json") for move in moves]}
        )

    async def _show(self, request: Request) -> Response:
        name = MOVE_PREFIX + request.match_info["index"]
        documents = self._documents()
        document = documents.catalogue.get(name)
        if document is None:
            raise OperatorError(404, "not_found", f"document {name} does not exist")
        move = MoveDocument.model_validate_json(document.body)
        states = await documents.revisions_on_members(name)
        moves = find_optional(self._kernel, "moves")
        status = None
        if moves is not None:
            status = cast("MovesPort", moves).status(move.index)
        payload: dict[str, Any] = {
            "document": document_summary(document, documents.in_force(name)),
            "move": move.model_dump(mode="json"),
            # Local status of the daemon that answers.
            "status": None if status is None else asdict(status),
            "vms": [revision_json(item) for item in states],
        }
        return json_response(payload)

    async def _start(self, request: Request) -> Response:
        index = request.match_info["index"]
        start = await read_model(request, MoveStart)
        documents = self._documents()
        share = start.canary_share
        if share is None:
            share = documents.catalogue.fleet().policy(index=index).canary_share
        try:
            move = MoveDocument(
                move_id=start.move_id,
                index=index,
                from_version=start.from_version,
                to_version=start.to_version,
                start_unix_s=start.start_unix_s,
                complete_by_unix_s=start.complete_by_unix_s,
                canary_share=share,
            )
        except ValueError as error:
            raise OperatorError(
                400, "invalid", format_validation_error(error)
            ) from error
        stored = documents.catalogue.get(INDEX_PREFIX + index)
        return await self._edit(
            index,
            start,
            action=f"start:{start.move_id}",
            produce=partial(
                start_move,
                move=move,
                index=documents.catalogue.index(index),
                index_revision=0 if stored is None else stored.revision,
            ),
            duplicate_error=f"move {start.move_id} was started before",
        )

    async def _take_back(self, request: Request) -> Response:
        take_back = await read_model(request, MoveTakeBack)
        return await self._edit(
            request.match_info["index"],
            take_back,
            action=f"take-back:{take_back.move_id}",
            produce=partial(
                take_back_move, move_id=take_back.move_id, reason=take_back.reason
            ),
        )

    async def _edit(
        self,
        index: str,
        change: ReasonedChange,
        *,
        action: str,
        produce: Callable[[bytes | None], bytes],
        duplicate_error: str = "",
    ) -> Response:
        edit = DocumentEdit(
            name=MOVE_PREFIX + index,
            change_id=change.change_id,
            author=change.author,
            reason=change.reason,
            fingerprint=xxh64_hexdigest(action.encode()),
            produce=produce,
            duplicate_error=duplicate_error,
        )
        return change_response(await self._documents().edit(edit))
