"""Ledger of the runs of non-idempotent requests."""

from __future__ import annotations

import json
import os
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class LedgerRun:
    """Record one run that took effect."""

    idempotency_key: str
    leaf_id: str
    request_id: str
    record: dict[str, Any]


@dataclass(slots=True)
class RunLedger:
    """Record the runs of all leaves of one process, without deduplication.

    A shared file takes the place of replication between the leaves of a ledger,
    so that each leaf finds the records that any of them has created.
    """

    shared_path: Path | None = None
    runs: list[LedgerRun] = field(default_factory=list)
    _latest_runs: dict[str, LedgerRun] = field(default_factory=dict)
    _read_offset: int = 0

    def add(self, run: LedgerRun) -> None:
        """Record a run that took effect."""
        self.runs.append(run)
        if self.shared_path is None:
            self._index(run)
        else:
            append_line(self.shared_path, json.dumps(asdict(run)))

    def find(self, record_key: str) -> LedgerRun | None:
        """Return the newest run for a record."""
        self._read_shared()
        return self._latest_runs.get(record_key)

    def counts(self, leaf_id: str = "") -> dict[str, int]:
        """Return the number of runs of this process by idempotency key."""
        totals: dict[str, int] = {}
        for run in self.runs:
            if leaf_id in ("", run.leaf_id):
                totals[run.idempotency_key] = totals.get(run.idempotency_key, 0) + 1
        return totals

    def _index(self, run: LedgerRun) -> None:
        record_key = run.record.get("key")
        if isinstance(record_key, str):
            self._latest_runs[record_key] = run

    def _read_shared(self) -> None:
        if self.shared_path is None or not self.shared_path.exists():
            return
        with self.shared_path.open("rb") as lines:
            lines.seek(self._read_offset)
            for line in lines:
                if not line.endswith(b"\n"):
                    return
                self._read_offset += len(line)
                self._index(LedgerRun(**json.loads(line)))


def append_line(path: Path, line: str) -> None:
    """Append a line in one write, so that lines of processes do not interleave."""
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    descriptor = os.open(path, flags, 0o600)
    try:
        os.write(descriptor, line.encode() + b"\n")
    finally:
        os.close(descriptor)
