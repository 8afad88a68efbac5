"""Checkpoints of the results of reserved keys in the store.

Each issuer writes only its own objects, in batches and after the caller has been
answered. They are read only when a key is repeated after its issuer is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gypsumvane_core.claim import Claim
from gypsumvane_core.claim import ClaimState
from gypsumvane_core.claim import hash_key
from gypsumvane_core.claim_bucket import ClaimBucket
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written

if TYPE_CHECKING:
    from gypsumvane_core.claim import RecordedResult
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.reserved_key import ReservedKey
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.service_ports import StorePort

logger = logging.getLogger(__name__)

# Keeps a block of results of up to 4 KB each, encoded as base64, below 750 KB.
KEYS_PER_BLOCK = 128
BLOCKS_MAX = 64


@dataclass(frozen=True, slots=True)
class CheckpointTimings:
    """Intervals of checkpoint writes; ``interval_s`` 0 disables checkpoints."""

    interval_s: float = 0.2
    retry_s: float = 1.0


@dataclass(slots=True)
class _Block:
    bucket: ClaimBucket = field(default_factory=ClaimBucket)
    version: int | None = None
    dirty: bool = False


def checkpoint_store_key(incarnation: str, sequence: int) -> str:
    """Return the store key of the block that contains a reserved key."""
    return f"claims/reserved/{incarnation}/{sequence // KEYS_PER_BLOCK}"


class ReservedCheckpoints:
    """Write the results of this issuer and read those of issuers that are gone."""

    def __init__(
        self,
        *,
        incarnation: str,
        store: StorePort,
        clock: Clock,
        metrics: MetricsService,
        timings: CheckpointTimings,
    ) -> None:
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._timings = timings
        self._blocks: OrderedDict[str, _Block] = OrderedDict()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        if timings.interval_s > 0:
            self._task = asyncio.create_task(self._run(), name="checkpoints")

    def record(
        self, key: ReservedKey, fingerprint: str, result: RecordedResult
    ) -> None:
        """Queue a result for one of the next writes."""
        if self._task is None:
            return
        store_key = checkpoint_store_key(self._incarnation, key.sequence)
        block = self._blocks.setdefault(store_key, _Block())
        block.bucket.put(
            Claim(
                key_hash=hash_key(key.format()),
                fingerprint=fingerprint,
                holder=self._incarnation,
                attempt=str(key.sequence),
                state=ClaimState.RAN,
                unix_s=self._clock.unix_s(),
                result=result,
            )
        )
        block.dirty = True
        if len(self._blocks) > BLOCKS_MAX:
            _, dropped = self._blocks.popitem(last=False)
            if dropped.dirty:
                self._metrics.count("booking_checkpoints_dropped")
        self._wake.set()

    async def recover(self, key: ReservedKey) -> Claim | None:
        """Read the recorded run of a key, None if there is none.

        Raises StoreError, also for a damaged block.
        """
        stored = await self._store.get(
            checkpoint_store_key(key.incarnation, key.sequence)
        )
        if stored is None:
            return None
        try:
            return ClaimBucket.decode(stored.value).get(hash_key(key.format()))
        except ValueError as error:
            logger.error(
                "checkpoint cannot be decoded; its results cannot be replayed",
                extra={"key": stored.key},
            )
            raise StoreError(str(error), may_have_applied=False) from error

    async def close(self) -> None:
        """Stop the periodic writes and write pending blocks once more."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._flush()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(self._timings.interval_s)
            if not await self._flush():
                await asyncio.sleep(self._timings.retry_s)
                self._wake.set()

    async def _flush(self) -> bool:
        """Write all changed blocks and return whether every write succeeded."""
        for store_key, block in list(self._blocks.items()):
            if block.dirty and not await self._write(store_key, block):
                return False
        return True

    async def _write(self, store_key: str, block: _Block) -> bool:
        block.dirty = False
        self._metrics.count("booking_checkpoint_writes")
        try:
            result = await self._store.put(
                store_key, block.bucket.encode(), expected_version=block.version
            )
            if isinstance(result, Written):
                block.version = result.version
                return True
            # Only this process writes the block, so the conflict is with one of
            # its own writes: the answer was lost, or the block was dropped from
            # memory since.
            await self._merge_stored(store_key, block)
        except (StoreError, ValueError):
            pass
        block.dirty = True
        return False

    async def _merge_stored(self, store_key: str, block: _Block) -> None:
        stored = await self._store.get(store_key)
        block.version = None if stored is None else stored.version
        if stored is None:
            return
        for claim in ClaimBucket.decode(stored.value):
            if block.bucket.get(claim.key_hash) is None:
                block.bucket.put(claim)
