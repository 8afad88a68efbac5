"""Replication of documents between daemons."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.messages import Document
from gypsumvane_core.messages import DocumentPush
from gypsumvane_core.messages import DocumentPushReply
from gypsumvane_core.messages import DocumentRevision
from gypsumvane_core.messages import DocumentsReply
from gypsumvane_core.messages import DocumentsRequest
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_network import PeerError
from gypsumvane_daemon.peer_network import PeerNetwork

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_daemon.applied_documents import AppliedDocuments
    from gypsumvane_daemon.peer_network import PeerContext

REQUEST_TIMEOUT_S = 1.0
REPLY_BYTES_MAX = 256 << 10
# Estimate of the encoded size of a document without its body.
DOCUMENT_OVERHEAD_BYTES = 1024


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """Revision in force on a VM; the state is None if the VM was not reached."""

    vm_id: str
    state: DocumentRevision | None


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Outcome of a fetch from one peer."""

    answered: bool
    peer_ready: bool


class DocumentReplicator:
    """Push documents to peers and fetch newer ones from them."""

    def __init__(self, applied: AppliedDocuments, peers: PeerNetwork) -> None:
        self._applied = applied
        self._peers = peers
        self.is_ready: Callable[[], bool] = lambda: False
        peers.register(DocumentPush, self._on_push)
        peers.register(DocumentsRequest, self._on_request)

    async def push(self, document: Document, peer_ids: list[str]) -> list[PeerRevision]:
        """Send a document to peers; return the revision each has in force."""
        return await self._push_to_all(document, peer_ids)

    async def in_force(self, name: str, peer_ids: list[str]) -> list[PeerRevision]:
        """Return the revision of a document in force on each peer."""
        # Revision 0 is never applied, so this push only queries the peers.
        return await self._push_to_all(Document(name=name), peer_ids)

    async def fetch(self, peer_id: str) -> FetchResult:
        """Fetch and apply all documents that are newer on a peer."""
        # Rejected revisions are included, so that the peer sends them only once.
        seen_revisions = self._applied.catalogue.revisions()
        while True:
            reply = await self._request(peer_id, seen_revisions)
            if reply is None:
                return FetchResult(answered=False, peer_ready=False)
            for document in reply.documents:
                self._applied.apply(document, source="peer")
                seen_revisions[document.name] = max(
                    document.revision, seen_revisions.get(document.name, 0)
                )
            if not reply.more or not reply.documents:
                return FetchResult(answered=True, peer_ready=reply.ready)

    def peer_id_of_vm(self, vm_id: str) -> str:
        """Return the peer identifier of a VM, which may be that of a seed."""
        for peer_id in self._peers.peer_ids():
            hello = self._peers.hello_of(peer_id)
            if hello is not None and hello.vm_id == vm_id:
                return peer_id
        return vm_id

    async def _request(
        self, peer_id: str, seen_revisions: dict[str, int]
    ) -> DocumentsReply | None:
        known = [
            DocumentRevision(name=name, revision=revision)
            for name, revision in seen_revisions.items()
        ]
        try:
            reply = await self._peers.request(
                peer_id, DocumentsRequest(known=known), timeout_s=REQUEST_TIMEOUT_S
            )
        except (PeerError, FrameError):
            return None
        return reply if isinstance(reply, DocumentsReply) else None

    async def _push_to_all(
        self, document: Document, peer_ids: list[str]
    ) -> list[PeerRevision]:
        return await asyncio.gather(
            *(self._push_to_peer(document, p) for p in peer_ids)
        )

    async def _push_to_peer(self, document: Document, peer_id: str) -> PeerRevision:
        hello = self._peers.hello_of(peer_id)
        vm_id = peer_id if hello is None else hello.vm_id
        push = DocumentPush(documents=[document])
        try:
            reply = await self._peers.request(
                peer_id, push, timeout_s=REQUEST_TIMEOUT_S
            )
        except (PeerError, FrameError):
            return PeerRevision(vm_id=vm_id, state=None)
        known = reply.known if isinstance(reply, DocumentPushReply) else []
        for state in known:
            if state.name == document.name:
                return PeerRevision(vm_id=vm_id, state=state)
        return PeerRevision(vm_id=vm_id, state=DocumentRevision(name=document.name))

    async def _on_push(
        self, push: DocumentPush, context: PeerContext
    ) -> DocumentPushReply:
        for document in push.documents:
            if document.revision > 0:
                self._applied.apply(document, source="peer")
        names = [document.name for document in push.documents]
        return DocumentPushReply(known=self._applied.revisions_in_force(names))

    async def _on_request(
        self, request: DocumentsRequest, context: PeerContext
    ) -> DocumentsReply:
        known = {item.name: item.revision for item in request.known}
        reply = DocumentsReply(ready=self.is_ready())
        size_bytes = 0
        for document in self._applied.catalogue.newer_than(known):
            size_bytes += len(document.body) + DOCUMENT_OVERHEAD_BYTES
            if reply.documents and size_bytes > REPLY_BYTES_MAX:
                reply.more = True
                break
            reply.documents.append(document)
        return reply
