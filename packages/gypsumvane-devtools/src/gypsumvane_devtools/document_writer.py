"""Write configuration documents into the store at set-up."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.document_models import DocumentModel
    from gypsumvane_devtools.control_client import ControlClient

DOCUMENTS_PATH = "/v1/objects/config/documents/"


class DocumentWriter:
    """Create first revisions; later changes go through the operators' interface."""

    def __init__(self, client: ControlClient, store_address: str) -> None:
        self._client = client
        self._store_address = store_address

    async def create(self, name: str, body: DocumentModel) -> None:
        """Create a document with revision 1."""
        stored = {
            "name": name,
            "revision": 1,
            "change_id": f"set-up-{name}",
            "author": "harness",
            "reason": "set-up",
            "accepted_unix_ms": int(time.time() * 1000),
            "body": json.loads(body.model_dump_json()),
        }
        reply = await self._client.call(
            "PUT",
            self._store_address,
            DOCUMENTS_PATH + name,
            stored,
            headers={"If-None-Match": "*"},
        )
        if reply.status != 200:
            raise RuntimeError(
                f"store refused to create document {name}: status {reply.status}"
            )
