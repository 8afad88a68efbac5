"""CPU time and memory of a process, read from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Positions after the closing bracket of the command name in /proc/<pid>/stat.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Hold the usage of a process since its start."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the usage of a running process."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return ProcessUsage(cpu_s=ticks / TICKS_PER_S, resident_bytes=pages * PAGE_BYTES)
