"""Validation of configuration documents and the catalogue of applied ones."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from gypsumvane_core.document_models import DocumentModel
from gypsumvane_core.document_models import DomainsDocument
from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import MoveDocument

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.messages import Document

FLEET = "fleet"
DOMAINS = "domains"
INDEX_PREFIX = "index/"
MOVE_PREFIX = "move/"


def parse_body(name: str, body: bytes) -> DocumentModel:
    """Validate the body of a document by its name.

    Raises ValueError for an unknown name or an invalid body.
    """
    if name == FLEET:
        return FleetDocument.model_validate_json(body)
    if name == DOMAINS:
        return DomainsDocument.model_validate_json(body)
    if name.startswith(INDEX_PREFIX):
        index = IndexDocument.model_validate_json(body)
        if index.name != name.removeprefix(INDEX_PREFIX):
            raise ValueError(f"document {name} describes another index: {index.name}")
        return index
    if name.startswith(MOVE_PREFIX):
        move = MoveDocument.model_validate_json(body)
        if move.index != name.removeprefix(MOVE_PREFIX):
            raise ValueError(f"document {name} moves another index: {move.index}")
        return move
    raise ValueError(
        f"unknown document name: {name}; expected {FLEET}, {DOMAINS}, "
        f"{INDEX_PREFIX}NAME or {MOVE_PREFIX}NAME"
    )


@dataclass(slots=True)
class DocumentCatalogue:
    """Hold the newest revision of each document; revisions only increase."""

    _documents: dict[str, Document] = field(default_factory=dict)
    _models: dict[str, DocumentModel] = field(default_factory=dict)
    _digest: int = 0

    def apply(self, document: Document) -> bool:
        """Apply a revision if it is newer and return whether it was.

        Raises ValueError when the body is invalid; the old revision stays applied.
        """
        known = self._documents.get(document.name)
        if known is not None and document.revision <= known.revision:
            return False
        self._models[document.name] = parse_body(document.name, document.body)
        self._documents[document.name] = document
        self._digest = xxh64_intdigest(
            json.dumps(sorted(self.revisions().items())).encode()
        )
        return True

    def revisions(self) -> dict[str, int]:
        """Return the applied revision of each document."""
        return {name: doc.revision for name, doc in self._documents.items()}

    def digest(self) -> int:
        """Return a hash of all applied revisions."""
        return self._digest

    def get(self, name: str) -> Document | None:
        """Return the applied document of this name, None if there is none."""
        return self._documents.get(name)

    def newer_than(self, revisions: dict[str, int]) -> Iterable[Document]:
        """Return the documents with a revision above the given ones."""
        return [
            doc
            for doc in self._documents.values()
            if doc.revision > revisions.get(doc.name, 0)
        ]

    def fleet(self) -> FleetDocument:
        """Return the fleet document or the built-in defaults."""
        model = self._models.get(FLEET)
        return model if isinstance(model, FleetDocument) else FleetDocument()

    def domains_out(self) -> frozenset[str]:
        """Return the failure domains that are taken out."""
        model = self._models.get(DOMAINS)
        return model.out_names() if isinstance(model, DomainsDocument) else frozenset()

    def index(self, name: str) -> IndexDocument | None:
        """Return the document of an index, None if there is none."""
        model = self._models.get(INDEX_PREFIX + name)
        return model if isinstance(model, IndexDocument) else None

    def indexes(self) -> list[IndexDocument]:
        """Return the documents of all indexes."""
        return [m for m in self._models.values() if isinstance(m, IndexDocument)]

    def move(self, index: str) -> MoveDocument | None:
        """Return the version move of an index, None if there is none."""
        model = self._models.get(MOVE_PREFIX + index)
        return model if isinstance(model, MoveDocument) else None

    def moves(self) -> list[MoveDocument]:
        """Return all version moves."""
        return [m for m in self._models.values() if isinstance(m, MoveDocument)]
