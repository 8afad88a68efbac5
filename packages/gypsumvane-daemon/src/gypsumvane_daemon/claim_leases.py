"""Leases of claim buckets, renewed by the consent of all live members.

The lease lets the owner of a bucket answer NOT_RUN from its copy. The members'
consent renews it while the store is down or no booking arrives. A former owner
that consents ends its own lease, so the new owner need not wait until that
lease expires.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.claim_bucket import BucketOwner
from gypsumvane_core.messages import ClaimLease
from gypsumvane_core.messages import ClaimLeaseReply
from gypsumvane_core.messages import ClaimLeaseRequest
from gypsumvane_daemon.peer_network import PeerError

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.claim_ledger import ClaimLedger
    from gypsumvane_daemon.claim_ledger import ClaimTimings
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.peer_network import PeerNetwork
    from gypsumvane_daemon.service_ports import MembershipPort

logger = logging.getLogger(__name__)

# Leaves time for further renewals before the lease expires if one fails.
RENEWALS_PER_LEASE = 4
# Lets changes that arrive together share one renewal.
EARLY_RENEWAL_DELAY_S = 0.02


class ClaimLeases:
    """Acquire, renew and release the leases of all claim buckets.

    A daemon acquires the buckets whose home it is and releases the others.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        *,
        clock: Clock,
        peers: PeerNetwork,
        membership: MembershipPort,
        ledgers: list[ClaimLedger],
        timings: ClaimTimings,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._peers = peers
        self._membership = membership
        self._ledgers = ledgers
        self._interval_s = timings.lease_s / RENEWALS_PER_LEASE
        # Set to start the next update early.
        self._renew_now = asyncio.Event()
        membership.on_change(self._renew_now.set)
        for ledger in ledgers:
            ledger.on_owner_changed = self._renew_now.set
        self._task = asyncio.create_task(self._run(), name="claim-leases")

    async def close(self) -> None:
        """Stop updating leases."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def serve(
        self, request: ClaimLeaseRequest, context: PeerContext
    ) -> ClaimLeaseReply:
        """Consent to the leases of buckets whose home, as seen here, is the sender."""
        return ClaimLeaseReply(
            incarnation=self._identity.incarnation,
            buckets=[
                lease.bucket
                for lease in request.leases
                if 0 <= lease.bucket < len(self._ledgers)
                and self._home_of(lease.bucket) == context.hello.vm_id
                and self._ledgers[lease.bucket].grant_lease(lease.version)
            ],
        )

    async def _run(self) -> None:
        while True:
            try:
                await self._update_leases()
            except Exception:
                logger.exception("claim bucket lease renewal failed; retrying")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._renew_now.wait()
                    await asyncio.sleep(EARLY_RENEWAL_DELAY_S)
            self._renew_now.clear()

    async def _update_leases(self) -> None:
        owned_leases = []
        for bucket, ledger in enumerate(self._ledgers):
            home = self._home_of(bucket) == self._identity.vm_id
            if home and ledger.owned:
                ledger.check_handover()
                owned_leases.append(ClaimLease(bucket=bucket, version=ledger.version))
            elif home:
                ledger.request_ownership()
            elif ledger.owned:
                await ledger.release_ownership()
        if owned_leases:
            await self._renew(owned_leases)

    async def _renew(self, leases: list[ClaimLease]) -> None:
        sent_at_s = self._clock.monotonic_s()
        request = ClaimLeaseRequest(leases=leases)
        others = [
            member.vm_id
            for member in self._membership.live_members()
            if member.vm_id != self._identity.vm_id
        ]
        answers = await asyncio.gather(
            *(self._request_consent(vm, request) for vm in others)
        )
        for lease in leases:
            if all(lease.bucket in answer for answer in answers):
                self._ledgers[lease.bucket].renew_lease(sent_at_s)

    async def _request_consent(
        self, vm_id: str, request: ClaimLeaseRequest
    ) -> list[int]:
        try:
            reply = await self._peers.request(
                vm_id, request, timeout_s=self._interval_s
            )
        except PeerError:
            return []
        if not isinstance(reply, ClaimLeaseReply):
            return []
        if reply.incarnation:
            former = BucketOwner(vm_id, reply.incarnation)
            for lease in request.leases:
                if lease.bucket in reply.buckets:
                    self._ledgers[lease.bucket].record_release(former, lease.version)
        return reply.buckets

    def _home_of(self, bucket: int) -> str | None:
        return self._membership.home_of_key(self._ledgers[bucket].store_key)
