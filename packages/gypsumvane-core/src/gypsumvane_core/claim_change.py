"""Grouping of changes to a claim bucket into one conditional write."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from gypsumvane_core.claim import Claim
from gypsumvane_core.claim import ClaimState
from gypsumvane_core.claim import RecordedResult
from gypsumvane_core.claim_bucket import CLAIM_BYTES_MAX

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from collections.abc import Set as AbstractSet

    from gypsumvane_core.claim_bucket import BucketOwner
    from gypsumvane_core.claim_bucket import ClaimBucket


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Claim a key for one attempt."""

    key_hash: str
    fingerprint: str
    attempt: str


@dataclass(frozen=True, slots=True)
class RecordRun:
    """Record the result of an attempt that ran."""

    key_hash: str
    attempt: str
    result: RecordedResult


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release a key after an attempt that certainly did not run."""

    key_hash: str
    attempt: str


ClaimChange = TakeClaim | RecordRun | ReleaseClaim


class ClaimAnswer(StrEnum):
    """Name the answers of a claim bucket to a change."""

    GRANTED = "granted"
    RAN = "ran"
    UNRESOLVED = "unresolved"
    REUSED = "reused"
    FULL = "full"
    NOTED = "noted"


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Answer one change, with the recorded result if the key ran."""

    answer: ClaimAnswer
    result: RecordedResult | None = None


@dataclass(frozen=True, slots=True)
class GroupedWrite:
    """Hold the new content of a bucket and the answer to each change."""

    bucket: ClaimBucket
    decisions: list[ClaimDecision]
    changed: bool


def decide_claimed(claim: Claim, fingerprint: str) -> ClaimDecision:
    """Return the answer for a key with a claim that is not released."""
    if claim.fingerprint != fingerprint:
        return ClaimDecision(ClaimAnswer.REUSED)
    if claim.state is ClaimState.RAN:
        return ClaimDecision(ClaimAnswer.RAN, claim.result)
    return ClaimDecision(ClaimAnswer.UNRESOLVED)


def is_claimable(claim: Claim | None, not_run: AbstractSet[str]) -> bool:
    """Return whether no attempt with this key ran or may still run.

    ``not_run`` holds this process's own attempts that were never sent or that
    every leaf refused; their claims may still be in the store.
    """
    return (
        claim is None or claim.state is ClaimState.RELEASED or claim.attempt in not_run
    )


@dataclass(frozen=True, slots=True)
class ClaimWriter:
    """Apply the changes of one daemon to a bucket."""

    owner: BucketOwner
    retention_s: float
    is_gone: Callable[[BucketOwner], bool]

    def group(
        self,
        bucket: ClaimBucket,
        changes: Sequence[ClaimChange],
        *,
        not_run: AbstractSet[str],
        unix_s: float,
        take_over: bool,
        leases_expired: bool,
    ) -> GroupedWrite:
        """Return one write with all changes; ``bucket`` itself is not modified.

        ``take_over`` requests ownership. ``leases_expired`` states that the
        leases of the former owners have expired. Raises ValueError when the
        ownership cannot change.
        """
        new = bucket.copy()
        new.expire(unix_s - self.retention_s)
        decisions = []
        for change in changes:
            decisions.append(self._apply(new, change, not_run, unix_s))
        changed = any(new.get(c.key_hash) != bucket.get(c.key_hash) for c in changes)
        # A former owner may still record results; only a new claim or a request of
        # the home changes the owner.
        if take_over or (changed and any(isinstance(c, TakeClaim) for c in changes)):
            new.change_owner(self.owner, is_gone=self.is_gone)
        if leases_expired and new.owner == self.owner:
            new.former_owners = ()
        return GroupedWrite(new, decisions, changed or new.owner != bucket.owner)

    def _apply(
        self,
        bucket: ClaimBucket,
        change: ClaimChange,
        not_run: AbstractSet[str],
        unix_s: float,
    ) -> ClaimDecision:
        known = bucket.get(change.key_hash)
        if isinstance(change, TakeClaim):
            return self._take(bucket, known, change, not_run, unix_s)
        noted = ClaimDecision(ClaimAnswer.NOTED)
        if known is None or known.attempt != change.attempt:
            return noted
        if known.state is not ClaimState.CLAIMED:
            return noted
        if isinstance(change, RecordRun):
            bucket.record(known, change.result, unix_s)
        else:
            bucket.put(replace(known, state=ClaimState.RELEASED, unix_s=unix_s))
        return noted

    def _take(
        self,
        bucket: ClaimBucket,
        known: Claim | None,
        change: TakeClaim,
        not_run: AbstractSet[str],
        unix_s: float,
    ) -> ClaimDecision:
        # The claim is already stored after a write whose answer was lost.
        if known is not None and known.attempt == change.attempt:
            return ClaimDecision(ClaimAnswer.GRANTED)
        if known is not None and not is_claimable(known, not_run):
            return decide_claimed(known, change.fingerprint)
        claim = Claim(
            key_hash=change.key_hash,
            fingerprint=change.fingerprint,
            holder=self.owner.incarnation,
            attempt=change.attempt,
            state=ClaimState.CLAIMED,
            unix_s=unix_s,
        )
        if not bucket.has_room_for(claim):
            bucket.drop_bodies(CLAIM_BYTES_MAX // 2)
        if not bucket.has_room_for(claim):
            return ClaimDecision(ClaimAnswer.FULL)
        bucket.put(claim)
        return ClaimDecision(ClaimAnswer.GRANTED)
