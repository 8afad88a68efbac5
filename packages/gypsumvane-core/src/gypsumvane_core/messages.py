"""Messages between daemons; each class maps to a struct in peer.capnp."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Hello:
    """Identify a daemon; sent as the first frame of a connection."""

    vm_id: str = ""
    incarnation: str = ""
    failure_domain: str = ""
    cluster: str = ""
    protocol_version: int = 1


@dataclass(slots=True)
class UpstreamBrief:
    """Summary of a leaf as its home sees it."""

    leaf_id: str = ""
    state: str = ""
    limit: int = 0
    queued: int = 0
    latency_ms: float = 0.0
    snapshots: list[int] = field(default_factory=list)
    version: str = ""
    boot_id: str = ""
    sequence: int = 0


@dataclass(slots=True)
class MoveFact:
    """Report the state of a version move as one daemon knows and applies it."""

    move_id: str = ""
    taken_back: bool = False
    reason: str = ""
    applied_share: float = 0.0


@dataclass(slots=True)
class MoveEvidence:
    """Count the answers of the old and new version seen by one incarnation."""

    move_id: str = ""
    route: str = ""
    incarnation: str = ""
    old_answers: int = 0
    old_failures: int = 0
    old_slow: int = 0
    new_answers: int = 0
    new_failures: int = 0
    new_slow: int = 0


@dataclass(slots=True)
class Heartbeat:
    """Exchange liveness and state between members; also used as reply."""

    epoch: int = 0
    acknowledged_epoch: int = 0
    # Negative: no confirmation from the store.
    confirmation_age_ms: int = -1
    promise: bool = False
    document_digest: int = 0
    # Negative: not leaving.
    leaving_for_ms: int = -1
    ready: bool = False
    gone: list[str] = field(default_factory=list)
    move_facts: list[MoveFact] = field(default_factory=list)
    evidence: list[MoveEvidence] = field(default_factory=list)
    briefs: list[UpstreamBrief] = field(default_factory=list)
    # The incarnation of the sender.
    incarnation: str = ""
    settled: bool = False


@dataclass(slots=True)
class HeartbeatReply(Heartbeat):
    """Reply to a heartbeat."""


@dataclass(slots=True)
class Beat:
    """Carry a delta-encoded heartbeat, without the fields that the peer has."""

    epoch: int = 0
    acknowledged_epoch: int = 0
    confirmation_age_ms: int = 0
    leaving_for_ms: int = 0
    promise: bool = False
    ready: bool = False
    settled: bool = False
    # Whether confirmation_age_ms and leaving_for_ms are set.
    store_confirmed: bool = False
    leaving: bool = False
    # Bit mask of the omitted fields, which equal those of the previous heartbeat.
    unchanged: int = 0
    document_digest: int = 0
    incarnation: str = ""
    gone: list[str] = field(default_factory=list)
    move_facts: list[MoveFact] = field(default_factory=list)
    evidence: list[MoveEvidence] = field(default_factory=list)
    briefs: list[UpstreamBrief] = field(default_factory=list)


@dataclass(slots=True)
class BeatReply(Beat):
    """Carry a delta-encoded reply to a heartbeat."""


@dataclass(slots=True)
class Member:
    """Describe one daemon in the view."""

    vm_id: str = ""
    incarnation: str = ""
    failure_domain: str = ""
    peer_address: str = ""
    caller_address: str = ""
    operator_address: str = ""
    leaving: bool = False
    # The epoch that added this incarnation.
    joined_epoch: int = 0


@dataclass(slots=True)
class ViewUpdate:
    """Carry a complete view."""

    epoch: int = 0
    members: list[Member] = field(default_factory=list)
    writer: str = ""
    # Removed incarnations that may still have authority over leaves.
    former: list[Member] = field(default_factory=list)
    out_domains: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ViewRequest:
    """Ask for the view."""


@dataclass(slots=True)
class JoinRequest:
    """Ask a member to add the sender to the view or update its entry."""

    member: Member = field(default_factory=Member)


@dataclass(slots=True)
class JoinReply:
    """Reply to a join request."""

    accepted: bool = False
    epoch: int = 0
    reason: str = ""


@dataclass(slots=True)
class DocumentRevision:
    """Name a document and its applied revision."""

    name: str = ""
    revision: int = 0
    change_id: str = ""
    in_force_since_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class Document:
    """Carry one revision of a configuration document."""

    name: str = ""
    revision: int = 0
    change_id: str = ""
    author: str = ""
    reason: str = ""
    accepted_unix_ms: int = 0
    body: bytes = b""


@dataclass(slots=True)
class DocumentsRequest:
    """Ask for documents newer than the known revisions."""

    known: list[DocumentRevision] = field(default_factory=list)


@dataclass(slots=True)
class DocumentsReply:
    """Return newer documents."""

    documents: list[Document] = field(default_factory=list)
    # Whether the sender has loaded its documents from the store or a peer.
    ready: bool = False
    # Whether more documents did not fit; ask again with the new revisions.
    more: bool = False


@dataclass(slots=True)
class DocumentPush:
    """Send changed documents."""

    documents: list[Document] = field(default_factory=list)


@dataclass(slots=True)
class DocumentPushReply:
    """Report the revisions applied after a push."""

    known: list[DocumentRevision] = field(default_factory=list)


@dataclass(slots=True)
class PartialRequest:
    """Ask a leaf for its part of a query."""

    attempt_id: int = 0
    service: str = ""
    leaf_id: str = ""


@dataclass(slots=True)
class PartialBatch:
    """Ask a home for the parts of a query that its leaves hold."""

    query_id: str = ""
    index: str = ""
    # "search" or "lookup".
    route: str = ""
    snapshot: int = 0
    deadline_left_ms: int = 0
    priority: int = 0
    caller_id: str = ""
    query: bytes = b""
    requests: list[PartialRequest] = field(default_factory=list)


@dataclass(slots=True)
class PartialResult:
    """Return the outcome of one partial request."""

    query_id: str = ""
    attempt_id: int = 0
    service: str = ""
    leaf_id: str = ""
    # "answered", "refused" or "failed".
    kind: str = ""
    verdict: str = ""
    reason: str = ""
    snapshot: int = 0
    body: bytes = b""
    latency_ms: float = 0.0


@dataclass(slots=True)
class PartialResults:
    """Return the outcomes of one or more requests of a batch."""

    results: list[PartialResult] = field(default_factory=list)
    briefs: list[UpstreamBrief] = field(default_factory=list)


@dataclass(slots=True)
class Cancel:
    """Cancel attempts of a query; an empty list cancels all of them."""

    query_id: str = ""
    attempt_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class BookingRequest:
    """Ask the home of a key to run a non-idempotent request."""

    key: str = ""
    fingerprint: str = ""
    index: str = ""
    route: str = ""
    service: str = ""
    deadline_left_ms: int = 0
    caller_id: str = ""
    body: bytes = b""


@dataclass(slots=True)
class BookingReply:
    """Return the outcome of a non-idempotent request."""

    # "completed", "refused" or "failed".
    kind: str = ""
    verdict: str = ""
    reason: str = ""
    status: int = 0
    replayed: bool = False
    body: bytes = b""


@dataclass(slots=True)
class LeafRunRequest:
    """Ask the home of a leaf to run a non-idempotent request there."""

    key: str = ""
    index: str = ""
    route: str = ""
    service: str = ""
    leaf_id: str = ""
    deadline_left_ms: int = 0
    caller_id: str = ""
    body: bytes = b""


@dataclass(slots=True)
class LeafRunReply(BookingReply):
    """Return the outcome of a non-idempotent request at a leaf."""


@dataclass(slots=True)
class ClaimLease:
    """Identify a claim bucket and the version that its owner knows."""

    bucket: int = 0
    version: int = 0


@dataclass(slots=True)
class ClaimLeaseRequest:
    """Ask a member to agree that the sender owns claim buckets."""

    leases: list[ClaimLease] = field(default_factory=list)


@dataclass(slots=True)
class ClaimLeaseReply:
    """Name the buckets that the member agrees to and holds no lease for."""

    buckets: list[int] = field(default_factory=list)
    # Incarnation of the member; empty if it does not send one.
    incarnation: str = ""


Message = (
    Hello
    | Heartbeat
    | HeartbeatReply
    | Beat
    | BeatReply
    | ViewUpdate
    | ViewRequest
    | JoinRequest
    | JoinReply
    | DocumentsRequest
    | DocumentsReply
    | DocumentPush
    | DocumentPushReply
    | PartialBatch
    | PartialResults
    | Cancel
    | BookingRequest
    | BookingReply
    | LeafRunRequest
    | LeafRunReply
    | ClaimLeaseRequest
    | ClaimLeaseReply
)
