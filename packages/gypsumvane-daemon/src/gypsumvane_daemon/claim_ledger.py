"""Claims of one bucket: reads, batched conditional writes and ownership."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.claim import bucket_store_key
from gypsumvane_core.claim_bucket import BucketOwner
from gypsumvane_core.claim_bucket import ClaimBucket
from gypsumvane_core.claim_change import ClaimAnswer
from gypsumvane_core.claim_change import ClaimWriter
from gypsumvane_core.claim_change import ReleaseClaim
from gypsumvane_core.claim_change import TakeClaim
from gypsumvane_core.claim_change import is_claimable
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.claim import Claim
    from gypsumvane_core.claim_change import ClaimChange
    from gypsumvane_core.claim_change import ClaimDecision
    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.service_ports import StorePort

logger = logging.getLogger(__name__)

# A write is abandoned after this many conflicts or lost answers in a row.
COMMIT_ATTEMPTS_MAX = 6
QUEUED_CHANGES_MAX = 10_000
NOT_RUN_MAX = 10_000


@dataclass(frozen=True, slots=True)
class ClaimTimings:
    """Intervals of the writes and leases of a claim bucket, in seconds."""

    write_spacing_s: float = 0.05
    # An owner may answer from its copy of the bucket for this long after its
    # ownership was last confirmed.
    lease_s: float = 2.0
    # A new owner waits for the lease plus this margin before its first run.
    margin_s: float = 0.5
    retry_s: float = 0.5


class ClaimsUnavailableError(Exception):
    """Signal that a claim could not be written to the store.

    ``known_not_run`` is True if no attempt of the key has run or may still run.
    """

    def __init__(self, *, known_not_run: bool) -> None:
        super().__init__("the claim could not be written to the store")
        self.known_not_run = known_not_run


@dataclass(slots=True)
class _PendingClaim:
    change: TakeClaim
    future: asyncio.Future[ClaimDecision]
    # The answer to a write with this claim was lost; the write may have applied.
    may_be_stored: bool = False


class ClaimLedger:
    """Cache one claim bucket, batch its writes and hold its lease.

    The store arbitrates: every write names the expected version of the bucket.
    """

    def __init__(
        self,
        *,
        bucket: int,
        store: StorePort,
        owner: BucketOwner,
        clock: Clock,
        metrics: MetricsService,
        timings: ClaimTimings,
        retention_s: Callable[[], float],
        is_gone: Callable[[BucketOwner], bool],
    ) -> None:
        self.store_key = bucket_store_key(bucket)
        self._store = store
        self._owner = owner
        self._clock = clock
        self._metrics = metrics
        self._timings = timings
        self._retention_s = retention_s
        self._is_gone = is_gone
        self._bucket = ClaimBucket()
        self._version: int | None = None
        # The copy must be read from the store again before the next write.
        self._stale = True
        self._lease_start_s = float("-inf")
        self._send_not_before_s = float("-inf")
        # Version at which this daemon became owner, and the former owners that
        # have released their leases since then.
        self._owner_since_version = 0
        self._released_by: set[BucketOwner] = set()
        # Version at which this daemon consented to the lease of another one. A
        # write of this daemon up to that version confirms no ownership, even if
        # its answer arrives later.
        self._granted_version = 0
        # Called when former owners should be asked to release their leases.
        self.on_owner_changed: Callable[[], None] = lambda: None
        # Attempts of this daemon that were never sent or that every leaf refused.
        self._not_run: OrderedDict[str, None] = OrderedDict()
        self._pending_claims: list[_PendingClaim] = []
        self._queued_changes: deque[ClaimChange] = deque()
        self._ownership_requested = False
        # A write that releases the ownership may still be applied, until another
        # write changes the version.
        self._release_may_apply = False
        self._wake = asyncio.Event()
        self._last_write_s = float("-inf")
        self._task = asyncio.create_task(self._run(), name=self.store_key)

    @property
    def owned(self) -> bool:
        """Return whether this daemon owns the bucket and its lease is valid."""
        age_s = self._clock.monotonic_s() - self._lease_start_s
        return self._bucket.owner == self._owner and age_s < self._timings.lease_s

    @property
    def version(self) -> int:
        """Return the store version of the copy, 0 before the first one."""
        return self._version or 0

    @property
    def send_not_before_s(self) -> float:
        """Return the monotonic time from which claimed keys may be sent to leaves."""
        return self._send_not_before_s

    async def claim(self, change: TakeClaim) -> ClaimDecision:
        """Claim a key with one of the next writes and return the decision.

        A claim that is cancelled counts as released. Raises
        ClaimsUnavailableError if the store does not accept the write.
        """
        future = asyncio.get_running_loop().create_future()
        pending = _PendingClaim(change, future)
        self._pending_claims.append(pending)
        self._wake.set()
        try:
            return await future
        except asyncio.CancelledError:
            if pending in self._pending_claims:
                self._pending_claims.remove(pending)
            else:
                self.release(ReleaseClaim(change.key_hash, change.attempt))
            raise
        except ClaimsUnavailableError:
            if pending.may_be_stored:
                self.release(ReleaseClaim(change.key_hash, change.attempt))
            raise

    def enqueue(self, change: ClaimChange) -> None:
        """Queue a change for one of the next writes, without waiting for it."""
        self._queued_changes.append(change)
        if len(self._queued_changes) > QUEUED_CHANGES_MAX:
            # The claim stays unresolved. This is safe: it can only prevent a run.
            self._queued_changes.popleft()
            self._metrics.count("booking_notes_dropped")
        self._wake.set()

    def release(self, change: ReleaseClaim) -> None:
        """Release a claim so that the next attempt of the key can claim it."""
        self._not_run[change.attempt] = None
        while len(self._not_run) > NOT_RUN_MAX:
            self._not_run.popitem(last=False)
        self.enqueue(change)

    def is_known_not_run(self, key_hash: str) -> bool:
        """Return whether the valid copy shows that no attempt of the key has run."""
        if not self.owned:
            return False
        return is_claimable(self._bucket.get(key_hash), self._not_run.keys())

    def request_ownership(self) -> None:
        """Acquire or confirm the ownership with the next write."""
        self._ownership_requested = True
        self._stale = True
        self._wake.set()

    def renew_lease(self, sent_at_s: float) -> None:
        """Renew a valid lease after every live member has consented.

        An expired lease is not renewed before the store confirms the ownership,
        because another daemon may have owned the bucket in the meantime.
        """
        if self.owned:
            self._lease_start_s = max(self._lease_start_s, sent_at_s)

    def grant_lease(self, version: int) -> bool:
        """Return whether another daemon may hold the lease at this version.

        If so, the lease of this daemon ends until a write after this version
        confirms its ownership.
        """
        if self._bucket.owner == self._owner and self.version >= version:
            return False
        self._granted_version = max(self._granted_version, version)
        self._lease_start_s = float("-inf")
        return True

    def record_release(self, former: BucketOwner, version: int) -> None:
        """Record that a former owner consented to the lease at a version."""
        if version >= self._owner_since_version:
            self._released_by.add(former)
        self.check_handover()

    def check_handover(self) -> None:
        """Allow runs once no former owner can still hold a lease."""
        now_s = self._clock.monotonic_s()
        if self._bucket.owner != self._owner or now_s >= self._send_not_before_s:
            return
        former = self._bucket.former_owners
        if all(owner in self._released_by or self._is_gone(owner) for owner in former):
            self._send_not_before_s = now_s
            self._metrics.count("booking_handovers")

    async def release_ownership(self) -> None:
        """Release the ownership so that the next owner need not wait."""
        self._lease_start_s = float("-inf")
        if self._stale or self._bucket.owner != self._owner:
            return
        self._release_may_apply = True
        bucket = self._bucket.copy()
        if self._former_leases_ended():
            bucket.former_owners = ()
        bucket.owner = BucketOwner()
        with contextlib.suppress(StoreError):
            await self._put(bucket)

    async def read_claim(self, key_hash: str) -> Claim | None:
        """Read the claim of a key from the store.

        Returns None if the key can still be claimed. Raises StoreError.
        """
        bucket, _ = await self._fetch()
        claim = bucket.get(key_hash)
        return None if is_claimable(claim, self._not_run.keys()) else claim

    async def close(self) -> None:
        """Write pending changes once more and release the ownership."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._pending_claims or self._queued_changes:
            await self._commit()
        await self.release_ownership()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            spaced_s = self._last_write_s + self._timings.write_spacing_s
            await asyncio.sleep(max(0.0, spaced_s - self._clock.monotonic_s()))
            if (
                not self._pending_claims
                and not self._queued_changes
                and not self._ownership_requested
            ):
                continue
            try:
                await self._commit()
            except Exception:
                logger.exception("claim bucket write failed; retrying queued changes")

    async def _commit(self) -> None:
        claims, self._pending_claims = self._pending_claims, []
        changes, self._queued_changes = list(self._queued_changes), deque()
        committed = False
        try:
            for _ in range(COMMIT_ATTEMPTS_MAX):
                committed = await self._try_commit(claims, changes)
                if committed:
                    return
        except (StoreError, ValueError) as error:
            logger.debug(
                "claims were not written to the store; rejecting them",
                extra={"cause": str(error)},
            )
        finally:
            self._ownership_requested = False
            if not committed:
                self._fail_commit(claims, changes)

    async def _try_commit(
        self, claims: list[_PendingClaim], changes: list[ClaimChange]
    ) -> bool:
        """Return whether all changes were decided and stored; raises StoreError."""
        reloaded = self._stale
        if self._stale:
            await self._reload()
        active = [pending for pending in claims if not pending.future.done()]
        writer = ClaimWriter(self._owner, self._retention_s(), self._is_gone)
        group = writer.group(
            self._bucket,
            [*changes, *(pending.change for pending in active)],
            not_run=self._not_run.keys(),
            unix_s=self._clock.unix_s(),
            take_over=self._ownership_requested,
            leases_expired=self._former_leases_ended(),
        )
        decisions = group.decisions[len(changes) :]
        if not reloaded and any(d.answer is ClaimAnswer.FULL for d in decisions):
            # The cached copy may lack changes of another owner; read it again.
            self._stale = True
            return False
        must_write = group.changed or (
            self._ownership_requested and self._release_may_apply
        )
        if must_write and not await self._write(group.bucket, active):
            return False
        for pending, decision in zip(active, decisions, strict=True):
            if not pending.future.done():
                pending.future.set_result(decision)
        return True

    async def _write(self, bucket: ClaimBucket, claims: list[_PendingClaim]) -> bool:
        """Write the bucket and return whether the store confirmed the write."""
        former = self._bucket.owner
        sent_at_s = self._clock.monotonic_s()
        try:
            written = await self._put(bucket)
        except StoreError as error:
            self._stale = True
            if not error.may_have_applied:
                raise
            self._metrics.count("booking_claim_answers_lost")
            for pending in claims:
                pending.may_be_stored = True
            # The next attempt reads the bucket back.
            return False
        if not written:
            self._metrics.count("booking_claim_conflicts")
            return False
        self._update_lease(former=former, sent_at_s=sent_at_s)
        return True

    def _update_lease(self, *, former: BucketOwner, sent_at_s: float) -> None:
        outdated = self.version <= self._granted_version
        if self._bucket.owner != self._owner or self._release_may_apply or outdated:
            self._lease_start_s = float("-inf")
            return
        self._lease_start_s = sent_at_s
        if former == self._owner:
            return
        self._owner_since_version = self.version
        self._released_by.clear()
        if not self._bucket.former_owners:
            return
        # A former owner may answer from its copy until its lease expires.
        wait_s = self._timings.lease_s + self._timings.margin_s
        self._send_not_before_s = self._clock.monotonic_s() + wait_s
        self.on_owner_changed()

    def _former_leases_ended(self) -> bool:
        owned = self._bucket.owner == self._owner
        return owned and self._clock.monotonic_s() >= self._send_not_before_s

    async def _put(self, bucket: ClaimBucket) -> bool:
        self._last_write_s = self._clock.monotonic_s()
        self._metrics.count("booking_claim_writes")
        result = await self._store.put(
            self.store_key, bucket.encode(), expected_version=self._version
        )
        if not isinstance(result, Written):
            self._stale = True
            return False
        self._bucket = bucket
        self._version = result.version
        self._release_may_apply = False
        return True

    async def _reload(self) -> None:
        former = self._bucket.owner
        sent_at_s = self._clock.monotonic_s()
        self._bucket, self._version = await self._fetch()
        self._stale = False
        # A write of this daemon whose answer was lost may have taken the ownership
        # from the owner named in the previous copy.
        self._update_lease(former=former, sent_at_s=sent_at_s)

    async def _fetch(self) -> tuple[ClaimBucket, int | None]:
        self._metrics.count("booking_claim_reads")
        stored = await self._store.get(self.store_key)
        if stored is None:
            return ClaimBucket(), None
        try:
            return ClaimBucket.decode(stored.value), stored.version
        except ValueError as error:
            logger.error(
                "claim bucket cannot be decoded; treating it as unavailable",
                extra={"key": self.store_key},
            )
            raise StoreError(str(error), may_have_applied=False) from error

    def _fail_commit(
        self, claims: list[_PendingClaim], changes: list[ClaimChange]
    ) -> None:
        self._stale = True
        for pending in claims:
            if not pending.future.done():
                known_not_run = self.is_known_not_run(pending.change.key_hash)
                error = ClaimsUnavailableError(known_not_run=known_not_run)
                pending.future.set_exception(error)
        if changes:
            self._queued_changes.extendleft(reversed(changes))
            loop = asyncio.get_running_loop()
            loop.call_later(self._timings.retry_s, self._wake.set)
