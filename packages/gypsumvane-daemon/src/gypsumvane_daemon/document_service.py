"""Loading, replication and changes of configuration documents."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeOutcome
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.document_change import DocumentEdit
from gypsumvane_core.stored_document import decode_stored
from gypsumvane_daemon.applied_documents import AppliedDocuments
from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.document_replicator import DocumentReplicator
from gypsumvane_daemon.document_replicator import PeerRevision
from gypsumvane_daemon.document_submission import DOCUMENTS_PREFIX
from gypsumvane_daemon.document_submission import DocumentSubmission
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.optional_services import find_optional
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.store_client import StoreClient
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document import DocumentCatalogue
    from gypsumvane_core.messages import Document
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.stored_document import RecentChange
    from gypsumvane_daemon.applied_documents import DocumentListener
    from gypsumvane_daemon.applied_documents import RevisionInForce
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.optional_services import MembershipPort

logger = logging.getLogger(__name__)


class DocumentService(Service):
    """Load, apply, replicate and change configuration documents."""

    name = "documents"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._identity = identity
        self._clock = clock
        platform = identity.settings.platform
        self._backoff = Backoff(
            rng,
            first_s=platform.store_pause_first_ms / 1000,
            max_s=platform.store_pause_max_ms / 1000,
        )
        self._applied = AppliedDocuments(clock)
        self._ready = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        # Digests of the peer's and the own documents at the last fetch, by VM.
        self._fetched_digests: dict[str, tuple[int, int]] = {}
        self._fetching: set[str] = set()
        self._membership: MembershipPort | None = None
        self._store: StoreClient
        self._peers: PeerNetwork
        self._replicator: DocumentReplicator
        self._submission: DocumentSubmission

    async def start(self, kernel: Kernel) -> None:
        """Start loading documents and answering requests of peers."""
        self._applied.metrics = kernel.get(MetricsService)
        self._store = kernel.get(StoreClient)
        self._peers = kernel.get(PeerNetwork)
        self._replicator = DocumentReplicator(self._applied, self._peers)
        self._replicator.is_ready = lambda: self.ready
        self._submission = DocumentSubmission(self._store, self._applied, self._clock)
        self._store.subscribe(DOCUMENTS_PREFIX, self._on_store_change)
        membership = find_optional(kernel, "membership")
        if membership is not None:
            self._membership = cast("MembershipPort", membership)
            self._membership.add_contributor(self)
        self._spawn(self._load())

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def catalogue(self) -> DocumentCatalogue:
        """Return the documents in force on this daemon."""
        return self._applied.catalogue

    @property
    def ready(self) -> bool:
        """Return whether documents were loaded from the store or a peer."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until documents were loaded from the store or a peer."""
        await self._ready.wait()

    def on_change(self, listener: DocumentListener) -> None:
        """Register a listener, called with the name of each applied document."""
        self._applied.on_change(listener)

    def in_force(self, name: str) -> RevisionInForce | None:
        """Return the revision in force on this daemon, None without one."""
        return self._applied.in_force(name)

    async def revisions_on_members(self, name: str) -> list[PeerRevision]:
        """Return the revision in force on each live member."""
        own = self._applied.revisions_in_force([name])
        states = [
            PeerRevision(vm_id=self._identity.vm_id, state=own[0] if own else None)
        ]
        states += await self._replicator.in_force(name, self._peers.peer_ids())
        return self._for_live_members(states)

    async def submit(self, change: DocumentChange) -> ChangeOutcome:
        """Write a change and push the document to all peers before returning."""
        return await self.edit(DocumentEdit.of(change))

    async def edit(self, edit: DocumentEdit) -> ChangeOutcome:
        """Apply an edit to the current body and push the document to all peers."""
        outcome = await self._submission.run(edit)
        if not isinstance(outcome, ChangeAccepted):
            return outcome
        document = self.catalogue.get(edit.name)
        if document is None:
            return outcome
        states = await self._replicator.push(document, self._peers.peer_ids())
        reached = {self._identity.vm_id} | {
            item.vm_id
            for item in states
            if item.state is not None and item.state.revision >= outcome.revision
        }
        expected = {item.vm_id for item in self._for_live_members(states)}
        return replace(
            outcome,
            in_force=sorted(reached),
            not_reached=sorted(expected - reached),
        )

    async def find_change(self, name: str, change_id: str) -> RecentChange | None:
        """Return the change from the store, None when it holds no such change.

        Raises StoreError.
        """
        return await self._submission.find(name, change_id)

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Set the digest of the applied documents."""
        heartbeat.document_digest = self.catalogue.digest()

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fetch documents from a peer whose digest differs."""
        digests = (heartbeat.document_digest, self.catalogue.digest())
        if digests[0] == digests[1] or self._fetched_digests.get(vm_id) == digests:
            return
        if vm_id in self._fetching:
            return
        self._fetching.add(vm_id)
        self._spawn(self._fetch_newer(vm_id, heartbeat.document_digest))

    async def _fetch_newer(self, vm_id: str, peer_digest: int) -> None:
        try:
            result = await self._replicator.fetch(self._replicator.peer_id_of_vm(vm_id))
        finally:
            self._fetching.discard(vm_id)
        if result.answered:
            # Remaining differences are newer here or were rejected.
            self._fetched_digests[vm_id] = (peer_digest, self.catalogue.digest())
        if result.peer_ready:
            self._mark_ready("peer")

    async def _load(self) -> None:
        while not self.ready:
            if await self._load_from_store():
                self._mark_ready("store")
            elif await self._load_from_peers():
                self._mark_ready("peer")
            else:
                await asyncio.sleep(self._backoff.next_s())

    async def _load_from_store(self) -> bool:
        try:
            objects = await self._store.list(DOCUMENTS_PREFIX)
        except StoreError:
            return False
        for found in objects:
            self._apply_stored(found.key, found.value)
        if len(self.catalogue.revisions()) < len(objects):
            # Peers may still have the last valid revision of a malformed object.
            await self._load_from_peers()
        return True

    async def _load_from_peers(self) -> bool:
        results = await asyncio.gather(
            *(self._replicator.fetch(peer_id) for peer_id in self._peers.peer_ids())
        )
        return any(result.peer_ready for result in results)

    def _mark_ready(self, source: str) -> None:
        if not self.ready:
            self._ready.set()
            logger.info("configuration documents loaded", extra={"source": source})

    def _on_store_change(self, key: str, value: bytes | None, version: int) -> None:
        if value is None:
            # Documents are never deleted, so the revision in force stays.
            self._applied.report_rejected(key, source="store", problem="deleted")
            return
        document = self._apply_stored(key, value)
        if document is not None:
            self._spawn(self._push(document))

    def _apply_stored(self, key: str, value: bytes) -> Document | None:
        """Apply a stored value; return its document if it was newer."""
        name = key.removeprefix(DOCUMENTS_PREFIX)
        try:
            document = decode_stored(value).document()
        except ValueError as error:
            self._applied.report_rejected(key, source="store", problem=str(error))
            return None
        if document.name != name:
            problem = f"object holds document {document.name}"
            self._applied.report_rejected(key, source="store", problem=problem)
            return None
        return document if self._applied.apply(document, source="store") else None

    async def _push(self, document: Document) -> None:
        await self._replicator.push(document, self._peers.peer_ids())

    def _for_live_members(self, states: list[PeerRevision]) -> list[PeerRevision]:
        """Return one state per live member, or per peer while there is no view."""
        by_vm = {item.vm_id: item for item in states}
        members = [] if self._membership is None else self._membership.live_members()
        if not members:
            return list(by_vm.values())
        vm_ids = {member.vm_id for member in members} | {self._identity.vm_id}
        return [
            by_vm.get(vm_id, PeerRevision(vm_id=vm_id, state=None))
            for vm_id in sorted(vm_ids)
        ]

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
