"""Crowd of clients as a process of its own."""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_devtools.client_crowd import PATH
from gypsumvane_devtools.client_crowd import CrowdCounts
from gypsumvane_devtools.managed_process import end_with_parent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """Describe a crowd: what its clients do, how many they are and where they call."""

    kind: str
    address: str
    count: int
    size_bytes: int = 0
    path: str = PATH
    # Header lines of each request; ``{number}`` stands for the number of the client.
    headers: tuple[str, ...] = ()


class CrowdProcess:
    """Play a crowd until it is told to leave."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def settle(self) -> None:
        """Wait until the crowd has sent what it can."""
        assert self._process.stdout is not None
        await self._process.stdout.readline()

    async def leave(self) -> CrowdCounts:
        """Close the connections and return what happened to them."""
        output, _ = await self._process.communicate(b"")
        return CrowdCounts(**json.loads(output))

    async def end(self) -> None:
        """Kill the process if it is running."""
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


@asynccontextmanager
async def running_crowd(plan: CrowdPlan) -> AsyncIterator[CrowdProcess]:
    """Start a crowd and end it with the context."""
    crowd = CrowdProcess(
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gypsumvane_devtools.client_crowd",
            plan.kind,
            plan.address,
            str(plan.count),
            str(plan.size_bytes),
            plan.path,
            *plan.headers,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
    )
    try:
        yield crowd
    finally:
        await crowd.end()
