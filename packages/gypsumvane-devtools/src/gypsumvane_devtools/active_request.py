"""One request in progress at a simulated leaf."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Any


class AbortCause(StrEnum):
    """Name the reasons for which a request ends early."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    PROCESS_ENDED = "fell_over"


class RequestAborted(Exception):  # noqa: N818
    """Report a request that ended early."""

    def __init__(self, cause: AbortCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class ActiveRequest:
    """Track one request, which can be aborted while it waits."""

    def __init__(self, *, request_id: str, deadline_s: float | None) -> None:
        self.request_id = request_id
        self.deadline_s = deadline_s
        self.begun = False
        self._loop = asyncio.get_running_loop()
        self._aborted: asyncio.Future[AbortCause] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None

    def end_at_deadline(self) -> None:
        """End the request when its deadline passes."""
        if self.deadline_s is not None:
            self._timer = self._loop.call_at(
                self.deadline_s, self.abort, AbortCause.DEADLINE
            )

    def abort(self, cause: AbortCause) -> None:
        """End the request early; the first cause counts."""
        if not self._aborted.done():
            self._aborted.set_result(cause)

    def close(self) -> None:
        """Cancel the deadline timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def sleep(self, seconds: float) -> None:
        """Sleep; raises RequestAborted when the request is aborted."""
        if seconds > 0:
            await asyncio.wait({self._aborted}, timeout=seconds)
        self._check()

    async def wait_for(self, future: asyncio.Future[None]) -> None:
        """Wait for a future; raises RequestAborted when the request is aborted."""
        futures: set[asyncio.Future[Any]] = {self._aborted, future}
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        self._check()

    def _check(self) -> None:
        if self._aborted.done():
            raise RequestAborted(self._aborted.result())
