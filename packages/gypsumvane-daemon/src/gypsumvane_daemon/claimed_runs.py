"""Runs of keys chosen by callers, at the home of their claim bucket."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.booking_machine import BookingAttempt
from gypsumvane_core.booking_machine import BookingState
from gypsumvane_core.claim import BUCKET_COUNT
from gypsumvane_core.claim import RecordedResult
from gypsumvane_core.claim import bucket_of
from gypsumvane_core.claim import hash_key
from gypsumvane_core.claim_bucket import BucketOwner
from gypsumvane_core.claim_change import ClaimAnswer
from gypsumvane_core.claim_change import ClaimDecision
from gypsumvane_core.claim_change import RecordRun
from gypsumvane_core.claim_change import ReleaseClaim
from gypsumvane_core.claim_change import TakeClaim
from gypsumvane_core.claim_change import decide_claimed
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.booking_replies import replayed_outcome
from gypsumvane_daemon.claim_ledger import ClaimLedger
from gypsumvane_daemon.claim_ledger import ClaimsUnavailableError
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.messages import BookingRequest
    from gypsumvane_daemon.booking_deadline import Deadline
    from gypsumvane_daemon.claim_ledger import ClaimTimings
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.leaf_runner import BookingTarget
    from gypsumvane_daemon.leaf_runner import LeafRunner
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.service_ports import DocumentsPort
    from gypsumvane_daemon.service_ports import MembershipPort
    from gypsumvane_daemon.service_ports import StorePort

# Maximum number of recent results that are replayed from memory, since their
# record may not be in the store yet.
RESULTS_MAX = 2_000
# Pause before a claim is retried while the store does not answer.
STORE_RETRY_S = 0.1
# Maximum number of requests that wait for the store; requests beyond it are refused
# without waiting, so that a long outage does not fill the daemon with them.
WAITING_MAX = 64
LEASE_RECHECK_S = 0.02


@dataclass(frozen=True, slots=True)
class _RecentResult:
    fingerprint: str
    result: RecordedResult


class ClaimedRuns:
    """Claim a key in the store, run its request and record the result."""

    def __init__(
        self,
        identity: DaemonIdentity,
        *,
        clock: Clock,
        store: StorePort,
        membership: MembershipPort,
        documents: DocumentsPort,
        metrics: MetricsService,
        runner: LeafRunner,
        timings: ClaimTimings,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._membership = membership
        self._documents = documents
        self._runner = runner
        self._metrics = metrics
        self._attempts = 0
        # Number of requests that wait for the store.
        self._waiting = 0
        # Hash of each key with an attempt in progress here -> request fingerprint.
        self._in_progress: dict[str, str] = {}
        self._recent_results: OrderedDict[str, _RecentResult] = OrderedDict()
        self.ledgers = [
            ClaimLedger(
                bucket=bucket,
                store=store,
                owner=BucketOwner(identity.vm_id, identity.incarnation),
                clock=clock,
                metrics=metrics,
                timings=timings,
                retention_s=self._retention_s,
                is_gone=self._is_gone,
            )
            for bucket in range(BUCKET_COUNT)
        ]

    async def close(self) -> None:
        """Write pending results and release the buckets."""
        await asyncio.gather(*(ledger.close() for ledger in self.ledgers))

    async def run(self, request: BookingRequest, deadline: Deadline) -> Outcome:
        """Run a key at most once.

        This daemon must be the home of the key's claim bucket.
        """
        key_hash = hash_key(request.key)
        fingerprint = self._in_progress.get(key_hash)
        if fingerprint is not None:
            return _in_progress(reused=fingerprint != request.fingerprint)
        recent = self._recent_results.get(key_hash)
        if recent is not None:
            if recent.fingerprint != request.fingerprint:
                return Refused(reason=Reason.KEY_REUSED)
            return replayed_outcome(recent.result)
        self._in_progress[key_hash] = request.fingerprint
        try:
            return await self._claim_and_run(key_hash, request, deadline)
        finally:
            del self._in_progress[key_hash]

    async def resolve_unsent(self, request: BookingRequest, reason: Reason) -> Outcome:
        """Return the outcome of an attempt that was not sent because of ``reason``.

        An earlier attempt of the key may have run, so the verdict is NOT_RUN only
        if the bucket shows that none has.
        """
        ledger = self.ledgers[bucket_of(request.key)]
        key_hash = hash_key(request.key)
        if ledger.is_known_not_run(key_hash):
            return Refused(reason=reason)
        try:
            claim = await ledger.read_claim(key_hash)
        except StoreError:
            return Failed(reason=reason, verdict=Verdict.MAY_HAVE_RUN)
        if claim is None:
            return Refused(reason=reason)
        return _outcome_of(decide_claimed(claim, request.fingerprint))

    async def _claim_and_run(
        self, key_hash: str, request: BookingRequest, deadline: Deadline
    ) -> Outcome:
        target = self._runner.target(request)
        if isinstance(target, Reason):
            return await self.resolve_unsent(request, target)
        ledger = self.ledgers[bucket_of(request.key)]
        # A later claim would leave no time for the run and its answer.
        claim_deadline = deadline.with_answer_reserve(self._clock)
        while True:
            claim = self._new_claim(key_hash, request)
            try:
                async with asyncio.timeout(claim_deadline.left_s(self._clock)):
                    decision = await ledger.claim(claim)
            except TimeoutError:
                return self._claim_timed_out(ledger, request, Reason.DEADLINE)
            except ClaimsUnavailableError as error:
                if not await self._wait_for_retry(ledger, claim_deadline):
                    return _unavailable(known_not_run=error.known_not_run)
                continue
            if decision.answer is not ClaimAnswer.GRANTED:
                return _outcome_of(decision)
            return await self._run_claimed(ledger, claim, request, target, deadline)

    def _new_claim(self, key_hash: str, request: BookingRequest) -> TakeClaim:
        # Each retry needs its own attempt identifier, because the claim of the
        # previous one is released by a later write.
        self._attempts += 1
        return TakeClaim(
            key_hash=key_hash,
            fingerprint=request.fingerprint,
            attempt=f"{self._identity.incarnation}-{self._attempts}",
        )

    async def _wait_for_retry(
        self, ledger: ClaimLedger, claim_deadline: Deadline
    ) -> bool:
        """Wait before the claim is retried; return False if it should not be."""
        home = self._membership.home_of_key(ledger.store_key) == self._identity.vm_id
        left_s = claim_deadline.left_s(self._clock)
        if not home or left_s < STORE_RETRY_S or self._waiting >= WAITING_MAX:
            return False
        self._metrics.count("booking_claim_retries")
        self._waiting += 1
        try:
            await asyncio.sleep(STORE_RETRY_S)
        finally:
            self._waiting -= 1
        return True

    def _claim_timed_out(
        self, ledger: ClaimLedger, request: BookingRequest, reason: Reason
    ) -> Outcome:
        # There is no time left to read the bucket from the store.
        if ledger.is_known_not_run(hash_key(request.key)):
            return Refused(reason=reason)
        return Failed(reason=reason, verdict=Verdict.MAY_HAVE_RUN)

    async def _run_claimed(
        self,
        ledger: ClaimLedger,
        claim: TakeClaim,
        request: BookingRequest,
        target: BookingTarget,
        deadline: Deadline,
    ) -> Outcome:
        attempt = BookingAttempt()
        attempt.claim()
        try:
            if not await self._wait_for_former_leases(ledger, deadline):
                attempt.abandon()
                return Refused(reason=Reason.DEADLINE)
            outcome = await self._runner.run(attempt, request, target, deadline)
            if isinstance(outcome, Completed):
                self._record(ledger, claim, outcome)
            return outcome
        finally:
            # Also covers a task that is cancelled before the request was sent.
            if attempt.state in (BookingState.CLAIMED, BookingState.NOT_RUN):
                ledger.release(ReleaseClaim(claim.key_hash, claim.attempt))

    async def _wait_for_former_leases(
        self, ledger: ClaimLedger, deadline: Deadline
    ) -> bool:
        # Polls, because a handover may end a wait that would exceed the deadline.
        send_deadline = deadline.with_answer_reserve(self._clock)
        while True:
            wait_s = ledger.send_not_before_s - self._clock.monotonic_s()
            if wait_s <= 0:
                return True
            left_s = send_deadline.left_s(self._clock)
            if left_s <= 0:
                return False
            await asyncio.sleep(min(wait_s, left_s, LEASE_RECHECK_S))

    def _record(
        self, ledger: ClaimLedger, claim: TakeClaim, outcome: Completed
    ) -> None:
        result = RecordedResult.bounded(outcome.status, outcome.body)
        self._recent_results[claim.key_hash] = _RecentResult(claim.fingerprint, result)
        if len(self._recent_results) > RESULTS_MAX:
            self._recent_results.popitem(last=False)
        ledger.enqueue(RecordRun(claim.key_hash, claim.attempt, result))

    def _retention_s(self) -> float:
        return float(self._documents.catalogue.fleet().defaults.claim_retention_s)

    def _is_gone(self, owner: BucketOwner) -> bool:
        # A view that names another incarnation of the VM is no proof, because the
        # view may be older than this owner.
        return self._membership.is_gone(owner.incarnation)


def _in_progress(*, reused: bool) -> Outcome:
    if reused:
        return Refused(reason=Reason.KEY_REUSED)
    return Failed(reason=Reason.KEY_IN_PROGRESS, verdict=Verdict.MAY_HAVE_RUN)


def _unavailable(*, known_not_run: bool) -> Outcome:
    reason = Reason.STORE_UNAVAILABLE
    if known_not_run:
        return Refused(reason=reason)
    return Failed(reason=reason, verdict=Verdict.MAY_HAVE_RUN)


def _outcome_of(decision: ClaimDecision) -> Outcome:
    if decision.answer is ClaimAnswer.RAN:
        return replayed_outcome(decision.result)
    if decision.answer is ClaimAnswer.REUSED:
        return Refused(reason=Reason.KEY_REUSED)
    if decision.answer is ClaimAnswer.FULL:
        return Refused(reason=Reason.CLAIMS_FULL)
    return Failed(reason=Reason.KEY_UNRESOLVED, verdict=Verdict.MAY_HAVE_RUN)
