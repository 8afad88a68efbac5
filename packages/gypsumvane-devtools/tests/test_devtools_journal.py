"""Tests of the report on days of the users' bench."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from gypsumvane_devtools.measure.journal import journal_sections
from gypsumvane_devtools.measure.journal import latencies
from gypsumvane_devtools.measure.journal import read_journal

DIGEST = """day  own/srv  score  worth served refused failed  weakest part
quiet-1  7/22  0.90  0.873  0.983  0.000  0.000  worst windows 0.93

class  asked  in aim  late refused failed not owed  worth  p50 ms  p99 ms
kit-sweep  677  664  13  0  0  0  0.988  101.3  190.9
live-swap  246  227  19  0  0  0  0.951  49.6  86.9

clients' zone  asked  in aim  late refused failed not owed  worth  p50 ms  p99 ms
sohar  235  226  9  0  0  0  0.982  98.3  372.6
"""


def entry(command: str, started: str, days: dict[str, float]) -> dict[str, Any]:
    """Return the fields of an entry that the report reads."""
    return {
        "cmd": command,
        "site": "shop",
        "at": [started, started],
        "head": "0123456789",
        "dirty": command == "run",
        "score": 0.5 if command == "score" else None,
        "days": [{"name": name, "G": worth} for name, worth in days.items()],
        "digest": DIGEST,
    }


class JournalReportTest(unittest.TestCase):
    """Check which entries are read and how they are shown."""

    def setUp(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.path = Path(self.directory.name)

    def write(self, name: str, values: dict[str, Any]) -> None:
        (self.path / f"{name}.json").write_text(json.dumps(values), encoding="utf-8")

    def test_scores_are_shown_in_their_order(self) -> None:
        """Guard against scores in the order of file names, not of their start."""
        days = {"quiet-1": 0.25, "drawn-now": 0.1}
        self.write("a", entry("score", "2026-12-04T12:00:00Z", days))
        self.write("b", entry("score", "2026-12-04T11:00:00Z", {"quiet-1": 0.75}))
        self.write("c", entry("hunt", "2026-12-04T13:00:00Z", {"mix": 0.5}))
        self.write("d", entry("score", "2026-12-04T13:00:00Z", {}))
        text, plots = journal_sections(read_journal(self.path))
        rows = [line for line in text.splitlines() if line.startswith("| 2026")]
        self.assertEqual([row.split(" | ")[3] for row in rows], ["0.750 |", "0.250 |"])
        self.assertEqual(list(plots), ["bench-shop-worth"])
        self.assertNotIn("drawn-now", text)

    def test_latest_run_of_a_day_gives_its_latencies(self) -> None:
        """Guard against latencies of a score entry or of the table of zones."""
        self.write("a", entry("score", "2026-12-04T12:00:00Z", {"quiet-1": 0.5}))
        self.write("b", entry("run", "2026-12-04T13:00:00Z", {"quiet-1": 0.5}))
        text, _ = journal_sections(read_journal(self.path))
        self.assertIn("| quiet-1 | 2026-12-04T13:00:00Z | kit-sweep | 101.3 |", text)
        self.assertNotIn("sohar", text)

    def test_only_kinds_of_requests_are_read(self) -> None:
        """Guard against rows of other tables of the same format."""
        found = latencies(DIGEST)
        self.assertEqual([name for name, _, _ in found], ["kit-sweep", "live-swap"])
