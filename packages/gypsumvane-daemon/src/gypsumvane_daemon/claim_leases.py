"""Ownership of claim buckets, kept alive by the other members.

An owner may answer NOT_RUN from its copy of a bucket. The members prolong that
right while the store is down or no booking arrives.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

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

# A round that is lost once still leaves time for another.
ROUNDS_PER_LEASE = 4


class ClaimLeases:
    """Take over, prolong and give up the buckets that have their home here."""

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
        self._interval_s = timings.lease_s / ROUNDS_PER_LEASE
        self._task = asyncio.create_task(self._run(), name="claim-leases")

    async def close(self) -> None:
        """End the rounds."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def serve(
        self, request: ClaimLeaseRequest, context: PeerContext
    ) -> ClaimLeaseReply:
        """Agree to the leases of a home that this daemon also sees as home."""
        return ClaimLeaseReply(
            buckets=[
                lease.bucket
                for lease in request.leases
                if 0 <= lease.bucket < len(self._ledgers)
                and self._home_of(lease.bucket) == context.hello.vm_id
                and self._ledgers[lease.bucket].grants(lease.version)
            ]
        )

    async def _run(self) -> None:
        while True:
            try:
                await self._round()
            except Exception:
                logger.exception("leases of claim buckets were not prolonged")
            await asyncio.sleep(self._interval_s)

    async def _round(self) -> None:
        held = []
        for bucket, ledger in enumerate(self._ledgers):
            home = self._home_of(bucket) == self._identity.vm_id
            if home and ledger.owned:
                held.append(ClaimLease(bucket=bucket, version=ledger.version))
            elif home:
                ledger.take_over()
            elif ledger.owned:
                await ledger.give_up()
        if held:
            await self._prolong(held)

    async def _prolong(self, leases: list[ClaimLease]) -> None:
        sent_at_s = self._clock.monotonic_s()
        request = ClaimLeaseRequest(leases=leases)
        others = [
            member.vm_id
            for member in self._membership.live_members()
            if member.vm_id != self._identity.vm_id
        ]
        answers = await asyncio.gather(*(self._ask(vm, request) for vm in others))
        for lease in leases:
            if all(lease.bucket in answer for answer in answers):
                self._ledgers[lease.bucket].extend(sent_at_s)

    async def _ask(self, vm_id: str, request: ClaimLeaseRequest) -> list[int]:
        try:
            reply = await self._peers.request(
                vm_id, request, timeout_s=self._interval_s
            )
        except PeerError:
            return []
        return reply.buckets if isinstance(reply, ClaimLeaseReply) else []

    def _home_of(self, bucket: int) -> str | None:
        return self._membership.home_of_key(self._ledgers[bucket].store_key)
