"""Operator API routes of documents and failure domains."""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING

from aiohttp.web import Response
from aiohttp.web import json_response
from xxhash import xxh64_hexdigest

from gypsumvane_core.document import DOMAINS
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.document_change import DocumentEdit
from gypsumvane_core.document_edits import bring_domain_in
from gypsumvane_core.document_edits import take_domain_out
from gypsumvane_core.document_models import DomainOut
from gypsumvane_core.document_models import DomainsDocument
from gypsumvane_daemon.document_submission import format_validation_error
from gypsumvane_daemon.operator_errors import OperatorError
from gypsumvane_daemon.operator_errors import read_model
from gypsumvane_daemon.operator_models import DocumentPut
from gypsumvane_daemon.operator_models import ReasonedChange
from gypsumvane_daemon.operator_responses import change_response
from gypsumvane_daemon.operator_responses import document_summary
from gypsumvane_daemon.operator_responses import revision_json
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from aiohttp.web import Request
    from aiohttp.web import UrlDispatcher

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.document_service import DocumentService


class DocumentRoutes:
    """Show and change documents and the failure domains that are out."""

    def __init__(self, documents: Callable[[], DocumentService], clock: Clock) -> None:
        self._documents = documents
        self._clock = clock

    def add_to(self, router: UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/v1/documents", self._list)
        router.add_get("/v1/documents/{name:.+}", self._show)
        router.add_put("/v1/documents/{name:.+}", self._put)
        router.add_get("/v1/in-force/{name:.+}", self._in_force)
        router.add_get("/v1/changes/{change_id}", self._find_change)
        router.add_get("/v1/domains", self._list_domains)
        router.add_post("/v1/domains/{domain}/out", self._take_out)
        router.add_post("/v1/domains/{domain}/in", self._bring_in)

    async def _list(self, request: Request) -> Response:
        documents = self._documents()
        summaries = []
        for name in sorted(documents.catalogue.revisions()):
            document = documents.catalogue.get(name)
            if document is not None:
                summaries.append(document_summary(document, documents.in_force(name)))
        return json_response({"ready": documents.ready, "documents": summaries})

    async def _show(self, request: Request) -> Response:
        name = request.match_info["name"]
        documents = self._documents()
        document = documents.catalogue.get(name)
        if document is None:
            if not documents.ready:
                raise OperatorError(
                    503, "not_ready", "configuration documents are not loaded yet"
                )
            raise OperatorError(404, "not_found", f"document {name} does not exist")
        summary = document_summary(document, documents.in_force(name))
        return json_response({**summary, "body": json.loads(document.body)})

    async def _put(self, request: Request) -> Response:
        put = await read_model(request, DocumentPut)
        change = DocumentChange(
            name=request.match_info["name"],
            body=json.dumps(put.body).encode(),
            expected_revision=put.expected_revision,
            change_id=put.change_id,
            author=put.author,
            reason=put.reason,
        )
        return change_response(await self._documents().submit(change))

    async def _in_force(self, request: Request) -> Response:
        name = request.match_info["name"]
        states = await self._documents().revisions_on_members(name)
        vms = [revision_json(item) for item in states]
        return json_response({"name": name, "vms": vms})

    async def _find_change(self, request: Request) -> Response:
        change_id = request.match_info["change_id"]
        name = request.query.get("document", "")
        if not name:
            raise OperatorError(400, "invalid", "query parameter document is missing")
        try:
            found = await self._documents().find_change(name, change_id)
        except StoreError as error:
            raise OperatorError(503, "unavailable", str(error)) from error
        if found is None:
            raise OperatorError(404, "not_found", f"{name} has no change {change_id}")
        return json_response(
            {
                "outcome": "accepted",
                "change_id": change_id,
                "revision": found.revision,
            }
        )

    async def _list_domains(self, request: Request) -> Response:
        documents = self._documents()
        document = documents.catalogue.get(DOMAINS)
        if document is None:
            return json_response({"revision": 0, "out": []})
        model = DomainsDocument.model_validate_json(document.body)
        out = [entry.model_dump() for entry in model.out]
        return json_response({"revision": document.revision, "out": out})

    async def _take_out(self, request: Request) -> Response:
        domain = request.match_info["domain"]
        change = await read_model(request, ReasonedChange)
        try:
            entry = DomainOut(
                failure_domain=domain,
                reason=change.reason,
                author=change.author,
                since_unix_s=self._clock.unix_s(),
            )
        except ValueError as error:
            raise OperatorError(
                400, "invalid", format_validation_error(error)
            ) from error
        return await self._edit(
            change,
            action=f"out:{domain}",
            produce=partial(take_domain_out, entry=entry),
            warnings=self._warnings(domain),
        )

    def _warnings(self, domain: str) -> list[str]:
        """Warn of a domain without leaves: a misspelled name or a new domain."""
        indexes = self._documents().catalogue.indexes()
        if any(x.failure_domain == domain for index in indexes for x in index.leaves):
            return []
        return [f"no leaf is in failure domain {domain}; check the name"]

    async def _bring_in(self, request: Request) -> Response:
        domain = request.match_info["domain"]
        change = await read_model(request, ReasonedChange)
        return await self._edit(
            change,
            action=f"in:{domain}",
            produce=partial(bring_domain_in, failure_domain=domain),
        )

    async def _edit(
        self,
        change: ReasonedChange,
        *,
        action: str,
        produce: Callable[[bytes | None], bytes],
        warnings: Sequence[str] = (),
    ) -> Response:
        edit = DocumentEdit(
            name=DOMAINS,
            change_id=change.change_id,
            author=change.author,
            reason=change.reason,
            fingerprint=xxh64_hexdigest(f"{action}:{change.reason}".encode()),
            produce=produce,
        )
        return change_response(await self._documents().edit(edit), warnings=warnings)
