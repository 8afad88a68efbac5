"""Streaming of the results of one batch of partial requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

# Half of the maximum frame size, to leave room for the other fields.
REPLY_BYTES_MAX = 1 << 19


class BatchReply:
    """Send results as they finish.

    Results that finish in the same iteration of the event loop share a reply.
    """

    def __init__(
        self,
        expected: int,
        *,
        send: Callable[[PartialResults, bool], None],
        briefs: Callable[[list[PartialResult]], list[UpstreamBrief]],
    ) -> None:
        self._outstanding_count = expected
        self._send = send
        self._briefs = briefs
        self._ready: list[PartialResult] = []
        if expected == 0:
            send(PartialResults(), True)

    def add(self, result: PartialResult) -> None:
        """Queue one result; a body that exceeds the limit turns it into a failure."""
        if len(result.body) > REPLY_BYTES_MAX:
            result.body = b""
            result.kind = "failed"
            result.verdict = Verdict.RAN.value
            result.reason = Reason.UPSTREAM_ERROR.value
        self._ready.append(result)
        self._outstanding_count -= 1
        if len(self._ready) == 1:
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        ready = self._ready
        self._ready = []
        while ready:
            count = _count_fitting(ready)
            chunk, ready = ready[:count], ready[count:]
            final = not ready and self._outstanding_count == 0
            reply = PartialResults(results=chunk, briefs=self._briefs(chunk))
            self._send(reply, final)


def _count_fitting(results: list[PartialResult]) -> int:
    size = 0
    for index, result in enumerate(results):
        size += len(result.body)
        if size > REPLY_BYTES_MAX and index:
            return index
    return len(results)
