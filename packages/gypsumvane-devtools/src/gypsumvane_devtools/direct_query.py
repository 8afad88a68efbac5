"""Calls of one request from a direct root to the leaves."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from gypsumvane_daemon.upstream_client import LeafCall
from gypsumvane_daemon.upstream_client import LeafCallError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_daemon.upstream_client import LeafAnswer
    from gypsumvane_devtools.direct_leaf import DirectLeaf

OK = 200
JsonObject = dict[str, object]


class DirectQuery:
    """Call leaves without a retry budget, hedging or admission control."""

    def __init__(
        self,
        *,
        snapshot: int,
        deadline_s: float,
        retries: int,
        rng: Random,
        next_id: Callable[[], str],
    ) -> None:
        self._snapshot = snapshot
        self._deadline_s = deadline_s
        self._retries = retries
        self._rng = rng
        self._next_id = next_id
        self._loop = asyncio.get_running_loop()

    async def call_with_retries(
        self, leaves: list[DirectLeaf], path: str, body: JsonObject
    ) -> bytes | None:
        """Return the first successful answer; None if all attempts fail."""
        order = self._rng.sample(leaves, len(leaves))
        for attempt in range(1 + self._retries):
            answer = await self.send(order[attempt % len(order)], path, body)
            if answer is not None and answer.status == OK:
                return answer.body
            if self._remaining_ms() <= 0:
                break
        return None

    async def send(
        self, leaf: DirectLeaf, path: str, body: JsonObject, key: str = ""
    ) -> LeafAnswer | None:
        """Send one call; return None if it fails or the deadline passes."""
        call = LeafCall(
            request_id=self._next_id(),
            path=path,
            body=json.dumps(body).encode(),
            deadline_left_ms=max(1, self._remaining_ms()),
            snapshot=self._snapshot,
            idempotency_key=key,
        )
        try:
            async with asyncio.timeout_at(self._deadline_s):
                return await leaf.send(call)
        except (LeafCallError, TimeoutError):
            return None

    def _remaining_ms(self) -> int:
        return int((self._deadline_s - self._loop.time()) * 1000)
