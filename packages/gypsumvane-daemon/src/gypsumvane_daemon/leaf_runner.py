"""Execution of a claimed request at the leaves of its service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.booking_target import LeafRanking
from gypsumvane_core.booking_target import key_fraction
from gypsumvane_core.booking_target import newest_service_of_key
from gypsumvane_core.messages import BookingReply
from gypsumvane_core.messages import BookingRequest
from gypsumvane_core.messages import LeafRunReply
from gypsumvane_core.messages import LeafRunRequest
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.booking_replies import FAILED
from gypsumvane_daemon.booking_replies import REFUSED
from gypsumvane_daemon.booking_replies import outcome_from_reply
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from gypsumvane_core.booking_machine import BookingAttempt
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_daemon.booking_deadline import Deadline
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.peer_network import PeerNetwork
    from gypsumvane_daemon.service_ports import DocumentsPort
    from gypsumvane_daemon.service_ports import MembershipPort
    from gypsumvane_daemon.service_ports import MovesPort
    from gypsumvane_daemon.service_ports import UpstreamsPort

# A run is not started with less than this time left before the deadline.
RUN_TIME_MIN_S = 0.02
LEAF_ANSWER_MARGIN_MS = 10


@dataclass(frozen=True, slots=True)
class BookingTarget:
    """List the leaves that may run a request, best first."""

    service: str
    leaves: list[LeafModel]


class LeafRunner:
    """Send a request to one leaf after another until one may have run it."""

    def __init__(
        self,
        identity: DaemonIdentity,
        *,
        clock: Clock,
        peers: PeerNetwork,
        membership: MembershipPort,
        documents: DocumentsPort,
        upstreams: UpstreamsPort,
        moves: MovesPort,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._membership = membership
        self._documents = documents
        self._upstreams = upstreams
        self._moves = moves

    def target(self, request: BookingRequest) -> BookingTarget | Reason:
        """Return where a request may run, or the reason why it cannot."""
        index = self._documents.catalogue.index(request.index)
        if index is None or not index.non_idempotent:
            return Reason.UNKNOWN_INDEX
        # The root sets the service that holds the record named in the body, which
        # is the service that a lookup of the record uses.
        service = request.service or newest_service_of_key(index, request.key)
        known = {leaf.service for leaf in index.leaves}
        if service is None or service not in known:
            return Reason.UNKNOWN_SERVICE
        order = LeafRanking(
            domains_out=self._documents.catalogue.domains_out(),
            brief_of=self._upstreams.briefs.get,
        )
        leaves = order.candidates(index, service, self._versions(request))
        if not leaves:
            return Reason.UPSTREAM_UNAVAILABLE
        return BookingTarget(service=service, leaves=leaves)

    def _versions(self, request: BookingRequest) -> list[str] | None:
        """Return the upstream versions that may run a request, None for all."""
        choice = self._moves.choose_version(
            request.index, request.route, key_fraction(request.key)
        )
        version = choice.version.version
        if version is None:
            return None
        old = None if choice.old is None else choice.old.version
        # The old version is the fallback where the new one has no leaf.
        return [version] if old in (None, version) else [version, old]

    async def run(
        self,
        attempt: BookingAttempt,
        request: BookingRequest,
        target: BookingTarget,
        deadline: Deadline,
    ) -> Outcome:
        """Run a claimed request and move the attempt to its final state."""
        reason = Reason.UPSTREAM_UNAVAILABLE
        for leaf in target.leaves:
            if deadline.left_s(self._clock) < RUN_TIME_MIN_S:
                reason = Reason.DEADLINE
                break
            outcome = await self._run_at(attempt, request, leaf, deadline)
            if not isinstance(outcome, Refused):
                return outcome
            reason = outcome.reason
        attempt.abandon()
        return Refused(reason=reason)

    async def _run_at(
        self,
        attempt: BookingAttempt,
        request: BookingRequest,
        leaf: LeafModel,
        deadline: Deadline,
    ) -> Outcome:
        attempt.send()
        sent_at_s = self._clock.monotonic_s()
        reply = await self._call(
            leaf,
            LeafRunRequest(
                key=request.key,
                index=request.index,
                route=request.route,
                service=leaf.service,
                leaf_id=leaf.leaf_id,
                # Lets the leaf's home answer before this daemon stops waiting.
                deadline_left_ms=deadline.left_ms(self._clock) - LEAF_ANSWER_MARGIN_MS,
                caller_id=request.caller_id,
                body=request.body,
            ),
            deadline,
        )
        outcome = outcome_from_reply(reply)
        self._record_evidence(request, leaf, outcome, sent_at_s)
        if outcome.verdict is Verdict.NOT_RUN:
            attempt.refuse()
        elif outcome.verdict is Verdict.RAN:
            attempt.complete()
        else:
            attempt.mark_unresolved()
        return outcome

    def _record_evidence(
        self,
        request: BookingRequest,
        leaf: LeafModel,
        outcome: Outcome,
        sent_at_s: float,
    ) -> None:
        # A refusal ran nothing, so it is no evidence about the version.
        if isinstance(outcome, Refused):
            return
        self._moves.record(
            request.index,
            request.route,
            leaf.version,
            failed=isinstance(outcome, Failed),
            latency_ms=(self._clock.monotonic_s() - sent_at_s) * 1000,
        )

    async def _call(
        self, leaf: LeafModel, request: LeafRunRequest, deadline: Deadline
    ) -> BookingReply:
        home = self._membership.home_of(leaf.leaf_id)
        if home is None:
            return _refused_reply(Reason.NO_HOME)
        if home == self._identity.vm_id:
            return await self._upstreams.run_once(request)
        left_s = deadline.left_s(self._clock)
        try:
            reply = await self._peers.request(home, request, timeout_s=left_s)
        except FrameError:
            return _refused_reply(Reason.BAD_REQUEST)
        except PeerError as error:
            if not error.sent:
                return _refused_reply(Reason.PEER_UNAVAILABLE)
            return _unknown_reply(Reason.PEER_LOST)
        if not isinstance(reply, LeafRunReply):
            return _unknown_reply(Reason.PEER_LOST)
        return reply


def _refused_reply(reason: Reason) -> BookingReply:
    return BookingReply(kind=REFUSED, verdict=Verdict.NOT_RUN, reason=reason)


def _unknown_reply(reason: Reason) -> BookingReply:
    return BookingReply(kind=FAILED, verdict=Verdict.MAY_HAVE_RUN, reason=reason)
