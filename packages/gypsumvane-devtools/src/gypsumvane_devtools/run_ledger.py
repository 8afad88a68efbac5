"""The runs of non-idempotent requests, counted by key."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any


@dataclass(frozen=True, slots=True)
class LedgerRun:
    """Record one run that took effect."""

    idempotency_key: str
    leaf_id: str
    request_id: str
    record: dict[str, Any]


@dataclass(slots=True)
class RunLedger:
    """Keep the runs of all leaves of one process; it does not deduplicate."""

    runs: list[LedgerRun] = field(default_factory=list)
    _newest: dict[str, LedgerRun] = field(default_factory=dict)

    def add(self, run: LedgerRun) -> None:
        """Record a run that took effect."""
        self.runs.append(run)
        record_key = run.record.get("key")
        if isinstance(record_key, str):
            self._newest[record_key] = run

    def find(self, record_key: str) -> LedgerRun | None:
        """Return the newest run for a record."""
        return self._newest.get(record_key)

    def counts(self, leaf_id: str = "") -> dict[str, int]:
        """Return the number of runs by idempotency key."""
        totals: dict[str, int] = {}
        for run in self.runs:
            if leaf_id in ("", run.leaf_id):
                totals[run.idempotency_key] = totals.get(run.idempotency_key, 0) + 1
        return totals
