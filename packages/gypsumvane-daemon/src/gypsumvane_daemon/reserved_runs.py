"""Runs of reserved keys at the daemon process that issued them."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.booking_machine import BookingAttempt
from gypsumvane_core.booking_machine import BookingState
from gypsumvane_core.claim import RecordedResult
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.reserved_key import KeyStatus
from gypsumvane_core.reserved_key import ReservedKeyIssuer
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.booking_replies import replayed_outcome
from gypsumvane_daemon.store_objects import StoreError

if TYPE_CHECKING:
    from gypsumvane_core.messages import BookingRequest
    from gypsumvane_core.reserved_key import ReservedKey
    from gypsumvane_daemon.booking_deadline import Deadline
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.leaf_runner import LeafRunner
    from gypsumvane_daemon.reserved_checkpoints import ReservedCheckpoints

USED_MAX = 20_000


@dataclass(slots=True)
class _Entry:
    fingerprint: str
    attempt: BookingAttempt = field(default_factory=BookingAttempt)
    result: RecordedResult | None = None


class ReservedRuns:
    """Run reserved keys at most once, tracked in the memory of their issuer.

    No claim in the store is needed, so these keys work during a store outage.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        *,
        runner: LeafRunner,
        checkpoints: ReservedCheckpoints,
        used_max: int = USED_MAX,
    ) -> None:
        self._runner = runner
        self._checkpoints = checkpoints
        self._keys = ReservedKeyIssuer(
            vm_id=identity.vm_id,
            incarnation=identity.incarnation,
            secret=secrets.token_bytes(32),
            used_max=used_max,
        )
        self._entries: dict[int, _Entry] = {}

    def reserve(self, count: int) -> list[str]:
        """Issue keys that only this process may run."""
        return [self._keys.issue() for _ in range(count)]

    def owns(self, key: ReservedKey) -> bool:
        """Return whether this process issued the key."""
        return self._keys.owns(key)

    async def run(
        self, key: ReservedKey, request: BookingRequest, deadline: Deadline
    ) -> Outcome:
        """Run a key issued by this process at most once."""
        use = self._keys.status_of(key)
        if use is KeyStatus.NEVER_ISSUED:
            return Refused(
                reason=Reason.BAD_REQUEST,
                message="the reserved key was not issued by this daemon",
            )
        if use is KeyStatus.USED:
            return self._replay(self._entries[key.sequence], request)
        if use is KeyStatus.FORGOTTEN:
            return await self.recover(key, request)
        return await self._run_first_attempt(key, request, deadline)

    async def refuse(
        self, key: ReservedKey, request: BookingRequest, reason: Reason
    ) -> Outcome:
        """Return the outcome of a refused request whose key this process issued."""
        use = self._keys.status_of(key)
        if use is KeyStatus.USED:
            return self._replay(self._entries[key.sequence], request)
        if use is KeyStatus.FORGOTTEN:
            return await self.recover(key, request)
        return Refused(reason=reason)

    async def recover(self, key: ReservedKey, request: BookingRequest) -> Outcome:
        """Return the outcome of a key that its issuer cannot answer for.

        The issuing process is gone or no longer remembers the key, so only the
        checkpoint in the store can show that it ran.
        """
        unresolved = Failed(reason=Reason.KEY_UNRESOLVED, verdict=Verdict.MAY_HAVE_RUN)
        try:
            recorded = await self._checkpoints.recover(key)
        except StoreError:
            return unresolved
        if recorded is None:
            return unresolved
        if recorded.fingerprint != request.fingerprint:
            return Refused(reason=Reason.KEY_REUSED)
        return replayed_outcome(recorded.result)

    def _replay(self, entry: _Entry, request: BookingRequest) -> Outcome:
        if entry.fingerprint != request.fingerprint:
            return Refused(reason=Reason.KEY_REUSED)
        if entry.attempt.state == BookingState.RAN:
            return replayed_outcome(entry.result)
        unresolved = entry.attempt.state == BookingState.UNRESOLVED
        return Failed(
            reason=Reason.KEY_UNRESOLVED if unresolved else Reason.KEY_IN_PROGRESS,
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _run_first_attempt(
        self, key: ReservedKey, request: BookingRequest, deadline: Deadline
    ) -> Outcome:
        target = self._runner.target(request)
        if isinstance(target, Reason):
            return Refused(reason=target)
        entry = _Entry(fingerprint=request.fingerprint)
        self._mark_used(key, entry)
        entry.attempt.claim()
        try:
            outcome = await self._runner.run(entry.attempt, request, target, deadline)
        except BaseException:
            # An attempt that was never sent leaves the key usable.
            if entry.attempt.verdict() is Verdict.NOT_RUN:
                self._mark_unused(key)
            raise
        if entry.attempt.state == BookingState.NOT_RUN:
            self._mark_unused(key)
        elif entry.attempt.state == BookingState.RAN:
            self._record(key, entry, outcome)
        return outcome

    def _record(self, key: ReservedKey, entry: _Entry, outcome: Outcome) -> None:
        if isinstance(outcome, Completed):
            entry.result = RecordedResult.bounded(outcome.status, outcome.body)
            self._checkpoints.record(key, entry.fingerprint, entry.result)

    def _mark_used(self, key: ReservedKey, entry: _Entry) -> None:
        self._entries[key.sequence] = entry
        for sequence in self._keys.mark_used(key):
            self._entries.pop(sequence, None)

    def _mark_unused(self, key: ReservedKey) -> None:
        self._keys.release(key)
        self._entries.pop(key.sequence, None)
