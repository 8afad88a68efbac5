"""Routing of non-idempotent requests, such as bookings, to the home of their key.

Each idempotency key runs at most once.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from gypsumvane_core.claim import bucket_of
from gypsumvane_core.claim import bucket_store_key
from gypsumvane_core.claim import fingerprint_of
from gypsumvane_core.messages import BookingReply
from gypsumvane_core.messages import BookingRequest
from gypsumvane_core.messages import ClaimLeaseRequest
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.reserved_key import RESERVED_PREFIX
from gypsumvane_core.reserved_key import ReservedKey
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.booking_deadline import Deadline
from gypsumvane_daemon.booking_replies import outcome_from_reply
from gypsumvane_daemon.booking_replies import reply_from_outcome
from gypsumvane_daemon.claim_leases import ClaimLeases
from gypsumvane_daemon.claim_ledger import ClaimTimings
from gypsumvane_daemon.claimed_runs import ClaimedRuns
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.leaf_runner import LeafRunner
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_network import PeerError
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.reserved_checkpoints import CheckpointTimings
from gypsumvane_daemon.reserved_checkpoints import ReservedCheckpoints
from gypsumvane_daemon.reserved_runs import ReservedRuns

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.service_ports import DocumentsPort
    from gypsumvane_daemon.service_ports import MembershipPort
    from gypsumvane_daemon.service_ports import MovesPort
    from gypsumvane_daemon.service_ports import StorePort
    from gypsumvane_daemon.service_ports import UpstreamsPort

KEY_LENGTH_MAX = 200
RESERVE_MAX = 1000
# Leaves room for the other fields in a peer frame of at most 1 MiB.
BODY_BYTES_MAX = 512 * 1024
FORWARD_PAUSE_S = 0.05
# Maximum number of requests that wait to be forwarded again; requests beyond it
# are answered without waiting.
WAITING_MAX = 64
# The home must answer this long before the caller's deadline.
ANSWER_MARGIN_MS = 10
STOP_TIMEOUT_S = 2.0
# Time limit for looking up earlier attempts of the key before a refusal.
REFUSE_TIMEOUT_S = 0.25
# The home may have run the request, but its answer was lost. A home that loses the
# connection to a leaf's home replies with an equal outcome, which is final, so
# this object must be compared by identity.
FORWARD_OUTCOME_UNKNOWN = Failed(reason=Reason.PEER_LOST, verdict=Verdict.MAY_HAVE_RUN)


class BookingService(Service):
    """Run each non-idempotent request at most once, at the home of its key."""

    name = "bookings"

    def __init__(
        self,
        identity: DaemonIdentity,
        *,
        clock: Clock,
        claim_timings: ClaimTimings | None = None,
        checkpoint_timings: CheckpointTimings | None = None,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._claim_timings = claim_timings or ClaimTimings()
        self._checkpoint_timings = checkpoint_timings or CheckpointTimings()
        self._running: set[asyncio.Task[Outcome]] = set()
        # Number of requests that wait to be forwarded again.
        self._waiting = 0
        self._metrics: MetricsService
        self._peers: PeerNetwork
        self._membership: MembershipPort
        self._documents: DocumentsPort
        self._claimed_runs: ClaimedRuns
        self._leases: ClaimLeases
        self._reserved_runs: ReservedRuns
        self._checkpoints: ReservedCheckpoints

    async def start(self, kernel: Kernel) -> None:
        """Resolve dependencies and accept forwarded requests."""
        self._metrics = kernel.get(MetricsService)
        self._peers = kernel.get(PeerNetwork)
        self._membership = cast("MembershipPort", kernel.find("membership"))
        self._documents = cast("DocumentsPort", kernel.find("documents"))
        store = cast("StorePort", kernel.find("store"))
        upstreams = cast("UpstreamsPort", kernel.find("upstreams"))
        runner = LeafRunner(
            self._identity,
            clock=self._clock,
            peers=self._peers,
            membership=self._membership,
            documents=self._documents,
            upstreams=upstreams,
            moves=cast("MovesPort", kernel.find("moves")),
        )
        self._claimed_runs = ClaimedRuns(
            self._identity,
            clock=self._clock,
            store=store,
            membership=self._membership,
            documents=self._documents,
            metrics=self._metrics,
            runner=runner,
            timings=self._claim_timings,
        )
        self._leases = ClaimLeases(
            self._identity,
            clock=self._clock,
            peers=self._peers,
            membership=self._membership,
            ledgers=self._claimed_runs.ledgers,
            timings=self._claim_timings,
        )
        self._checkpoints = ReservedCheckpoints(
            incarnation=self._identity.incarnation,
            store=store,
            clock=self._clock,
            metrics=self._metrics,
            timings=self._checkpoint_timings,
        )
        self._reserved_runs = ReservedRuns(
            self._identity, runner=runner, checkpoints=self._checkpoints
        )
        self._peers.register(BookingRequest, self._on_booking_request)
        self._peers.register(ClaimLeaseRequest, self._leases.serve)

    async def stop(self) -> None:
        """Wait for the runs in progress, cancel the rest and write their results."""
        if self._running:
            await asyncio.wait(self._running, timeout=STOP_TIMEOUT_S)
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await self._leases.close()
        await self._claimed_runs.close()
        await self._checkpoints.close()

    def reserve(self, count: int) -> list[str]:
        """Issue reserved keys, which can be run during a store outage.

        Raises ValueError if ``count`` is not between 1 and RESERVE_MAX.
        """
        if not 1 <= count <= RESERVE_MAX:
            raise ValueError(f"expected a count of 1 to {RESERVE_MAX}, got {count}")
        return self._reserved_runs.reserve(count)

    async def run(self, request: BookingRequest) -> Outcome:
        """Run a caller's request, on this daemon or at the home of its key."""
        reason = _validate(request)
        if reason is not None:
            return Refused(reason=reason)
        # The run continues if the caller disconnects.
        outcome = await self._run_detached(self._route(self._with_defaults(request)))
        self._metrics.count("bookings", verdict=outcome.verdict)
        return outcome

    async def refuse(self, request: BookingRequest, reason: Reason) -> Outcome:
        """Return the outcome of a request that is refused because of ``reason``.

        An earlier attempt with the same key may have run. If that cannot be
        determined within REFUSE_TIMEOUT_S, the verdict is MAY_HAVE_RUN.
        """
        try:
            async with asyncio.timeout(REFUSE_TIMEOUT_S):
                outcome = await self._refusal(self._with_defaults(request), reason)
        except TimeoutError:
            outcome = Failed(reason=reason, verdict=Verdict.MAY_HAVE_RUN)
        self._metrics.count("bookings", verdict=outcome.verdict)
        return outcome

    async def _refusal(self, request: BookingRequest, reason: Reason) -> Outcome:
        key = ReservedKey.parse(request.key)
        if key is not None and self._reserved_runs.owns(key):
            return await self._reserved_runs.refuse(key, request, reason)
        return await self._resolve_unsent(request, reason)

    async def _on_booking_request(
        self, request: BookingRequest, context: PeerContext
    ) -> BookingReply:
        deadline = Deadline.after(self._clock, request.deadline_left_ms / 1000)
        return reply_from_outcome(
            await self._run_detached(self._run_here(request, deadline))
        )

    async def _run_detached(self, work: Coroutine[Any, Any, Outcome]) -> Outcome:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _route(self, request: BookingRequest) -> Outcome:
        deadline = Deadline.after(self._clock, request.deadline_left_ms / 1000)
        forward_deadline = deadline.with_answer_reserve(self._clock)
        outcome_unknown = False
        while True:
            answer = await self._attempt_at_home(request, deadline)
            if answer is FORWARD_OUTCOME_UNKNOWN:
                outcome_unknown = True
            elif not isinstance(answer, Reason) and not (
                outcome_unknown and _is_provisional(answer)
            ):
                break
            if not self._can_wait(forward_deadline):
                break
            reason = answer if isinstance(answer, Reason) else Reason.PEER_LOST
            self._metrics.count("booking_forward_retries", reason=reason.value)
            await self._pause()
        if isinstance(answer, Reason):
            answer = await self._resolve_unsent(request, answer)
        if outcome_unknown and isinstance(answer, Refused):
            # The home may still receive and run the request whose reply was lost.
            return FORWARD_OUTCOME_UNKNOWN
        return answer

    async def _attempt_at_home(
        self, request: BookingRequest, deadline: Deadline
    ) -> Outcome | Reason:
        """Return the home's answer, or the reason why the request was not run."""
        home = self._home_of(request)
        if home is None:
            return Reason.NO_HOME
        if home == self._identity.vm_id:
            return await self._run_here(request, deadline)
        return await self._forward(home, request, deadline)

    def _can_wait(self, forward_deadline: Deadline) -> bool:
        left_s = forward_deadline.left_s(self._clock)
        return left_s >= FORWARD_PAUSE_S and self._waiting < WAITING_MAX

    async def _pause(self) -> None:
        self._waiting += 1
        try:
            await asyncio.sleep(FORWARD_PAUSE_S)
        finally:
            self._waiting -= 1

    def _home_of(self, request: BookingRequest) -> str | None:
        key = ReservedKey.parse(request.key)
        if key is None:
            store_key = bucket_store_key(bucket_of(request.key))
            return self._membership.home_of_key(store_key)
        if self._reserved_runs.owns(key):
            return self._identity.vm_id
        member = self._membership.member(key.vm_id)
        if member is None or member.incarnation != key.incarnation:
            # The issuer is gone, so only its checkpoints in the store can tell whether
            # the key ran. Any daemon can read them.
            return self._identity.vm_id
        return key.vm_id

    async def _forward(
        self, home: str, request: BookingRequest, deadline: Deadline
    ) -> Outcome | Reason:
        """Return the home's answer, or the reason why the request was not run."""
        left_s = deadline.left_s(self._clock)
        message = replace(
            request, deadline_left_ms=max(0, int(left_s * 1000) - ANSWER_MARGIN_MS)
        )
        try:
            reply = await self._peers.request(home, message, timeout_s=left_s)
        except FrameError:
            return Reason.BAD_REQUEST
        except PeerError as error:
            return FORWARD_OUTCOME_UNKNOWN if error.sent else Reason.PEER_UNAVAILABLE
        if not isinstance(reply, BookingReply):
            return FORWARD_OUTCOME_UNKNOWN
        outcome = outcome_from_reply(reply)
        if isinstance(outcome, Refused) and outcome.reason is Reason.NOT_HOME:
            return Reason.NOT_HOME
        return outcome

    async def _run_here(self, request: BookingRequest, deadline: Deadline) -> Outcome:
        key = ReservedKey.parse(request.key)
        if key is not None:
            if self._reserved_runs.owns(key):
                return await self._reserved_runs.run(key, request, deadline)
            return await self._reserved_runs.recover(key, request)
        if self._home_of(request) != self._identity.vm_id:
            return Refused(reason=Reason.NOT_HOME)
        return await self._claimed_runs.run(request, deadline)

    async def _resolve_unsent(self, request: BookingRequest, reason: Reason) -> Outcome:
        """Return the outcome of a request that no home has run."""
        key = ReservedKey.parse(request.key)
        if key is not None:
            return await self._reserved_runs.recover(key, request)
        return await self._claimed_runs.resolve_unsent(request, reason)

    def _with_defaults(self, request: BookingRequest) -> BookingRequest:
        policy = self._documents.catalogue.fleet().policy(index=request.index)
        return replace(
            request,
            fingerprint=fingerprint_of(request.index, request.route, request.body),
            deadline_left_ms=request.deadline_left_ms or policy.deadline_ms,
        )


def _is_provisional(outcome: Outcome) -> bool:
    """Return whether repeating the request may produce another outcome."""
    if isinstance(outcome, Refused):
        return outcome.reason is not Reason.KEY_REUSED
    return isinstance(outcome, Failed) and outcome.reason is Reason.KEY_IN_PROGRESS


def _validate(request: BookingRequest) -> Reason | None:
    if not request.key:
        return Reason.KEY_MISSING
    # No daemon ever runs such a request, so NOT_RUN holds for the key as a whole.
    if len(request.key) > KEY_LENGTH_MAX or len(request.body) > BODY_BYTES_MAX:
        return Reason.BAD_REQUEST
    if not request.key.startswith(RESERVED_PREFIX):
        return None
    return None if ReservedKey.parse(request.key) else Reason.BAD_REQUEST
