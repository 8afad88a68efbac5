"""Memory and descriptors that a process uses, as its platform counts them."""

from __future__ import annotations

import asyncio
import contextlib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SAMPLE_INTERVAL_S = 0.02
KIB = 1024


@dataclass(slots=True)
class ProcessUsage:
    """Hold the greatest usage of a process that was seen."""

    pid: int
    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self) -> None:
        """Take the usage of this moment into account."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        fields = dict(line.split(":", 1) for line in status.splitlines())
        resident = int(fields["VmRSS"].split()[0]) * KIB
        highest = int(fields["VmHWM"].split()[0]) * KIB
        inodes = self._socket_inodes()
        self.memory_bytes = max(
            self.memory_bytes, highest, resident + _unread_bytes(inodes)
        )

    def _socket_inodes(self) -> set[str]:
        """Return the inodes of the open sockets and count the descriptors."""
        folder = f"/proc/{self.pid}/fd"
        names = os.listdir(folder)
        self.descriptors = max(self.descriptors, len(names))
        inodes = set()
        for name in names:
            with contextlib.suppress(FileNotFoundError):
                target = os.readlink(f"{folder}/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:[") : -1])
        return inodes


def _unread_bytes(inodes: set[str]) -> int:
    """Return the bytes that the sockets have received and nobody has read."""
    total = 0
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()
    for line in lines[1:]:
        fields = line.split()
        # The receive queue of a listening socket counts connections instead.
        if fields[3] != "0A" and fields[9] in inodes:
            total += int(fields[4].partition(":")[2], 16)
    return total


@contextlib.asynccontextmanager
async def watched_usage(pid: int) -> AsyncIterator[ProcessUsage]:
    """Sample the usage of a process until the context ends."""
    usage = ProcessUsage(pid)

    async def watch() -> None:
        while True:
            usage.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.create_task(watch())
    try:
        yield usage
    finally:
        task.cancel()
        # A process that has ended has no usage; its end is for the caller to notice.
        with contextlib.suppress(asyncio.CancelledError, OSError, KeyError):
            await task
