"""Report sections on the days that ran on the users' bench."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.measure.plot import line_plot

if TYPE_CHECKING:
    from pathlib import Path

SCORE = "score"
RUN = "run"
# A line of the table of request kinds: name, six counts, benefit, p50 and p99.
KIND_LINE = re.compile(r"^(\S+)(?:\s+\d+){6}\s+[\d.]+\s+([\d.]+)\s+([\d.]+)$")
KIND_HEADING = re.compile(r"^class\s")

JOURNAL_HEAD = """## Days on the users' bench

From the entries under `journal/`: the worth of each standard day in every score, and
the latencies of the latest single run of a day. The rounds behind them are told in
[platform-measurements.md](platform-measurements.md).
"""


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Hold what the report uses of one entry."""

    command: str
    site: str
    started: str
    commit: str
    score: float | None
    # Worth by day; a day drawn at random is part of one score only.
    worths: dict[str, float]
    digest: str


def read_journal(directory: Path) -> list[JournalEntry]:
    """Return the entries with days, oldest first; raises ValueError for a bad file."""
    found = []
    for path in sorted(directory.glob("*.json")):
        values = json.loads(path.read_text(encoding="utf-8"))
        if values.get("days"):
            found.append(_entry(values))
    return sorted(found, key=lambda entry: entry.started)


def journal_sections(entries: list[JournalEntry]) -> tuple[str, dict[str, str]]:
    """Return the text and the plots by file name."""
    parts = [JOURNAL_HEAD]
    plots: dict[str, str] = {}
    for site in sorted({entry.site for entry in entries if entry.command == SCORE}):
        scores = [e for e in entries if e.site == site and e.command == SCORE]
        name = f"bench-{site}-worth"
        plots[name] = line_plot(
            f"{site}: worth of the standard days by score", series(scores), unit=""
        )
        parts += [f"### {site}", "", *worth_table(scores), ""]
        parts += [f"![{name}](plots/{name}.svg)", ""]
        parts += latency_table([e for e in entries if e.site == site])
    return "\n".join(parts), plots


def series(scores: list[JournalEntry]) -> dict[str, list[float]]:
    """Return the worth of each standard day, score by score."""
    return {day: [s.worths[day] for s in scores] for day in standard_days(scores)}


def standard_days(scores: list[JournalEntry]) -> list[str]:
    """Return the days that every score has."""
    return [day for day in scores[0].worths if all(day in s.worths for s in scores)]


def worth_table(scores: list[JournalEntry]) -> list[str]:
    """Return the lines of a table with one row for each score."""
    days = standard_days(scores)
    lines = [
        f"| started | commit | score | {' | '.join(days)} |",
        "| --- " * (3 + len(days)) + "|",
    ]
    for entry in scores:
        worths = " | ".join(f"{entry.worths[day]:.3f}" for day in days)
        score = "none" if entry.score is None else f"{entry.score:.3f}"
        lines.append(f"| {entry.started} | `{entry.commit}` | {score} | {worths} |")
    return lines


def latency_table(entries: list[JournalEntry]) -> list[str]:
    """Return the lines of a table with the latest run of each day."""
    latest = {
        day: entry for entry in entries if entry.command == RUN for day in entry.worths
    }
    rows = [
        f"| {day} | {entry.started} | {kind} | {p50} | {p99} |"
        for day, entry in sorted(latest.items())
        for kind, p50, p99 in latencies(entry.digest)
    ]
    if not rows:
        return []
    head = ["| day | started | kind | p50 ms | p99 ms |", "| --- " * 5 + "|"]
    return [*head, *rows, ""]


def latencies(digest: str) -> list[tuple[str, str, str]]:
    """Return kind, p50 and p99 in ms from the text of a run."""
    found = []
    within = False
    for line in digest.splitlines():
        if KIND_HEADING.match(line):
            within = True
        elif not line.strip():
            within = False
        elif within and (match := KIND_LINE.match(line)):
            found.append((match[1], match[2], match[3]))
    return found


def _entry(values: dict[str, Any]) -> JournalEntry:
    return JournalEntry(
        command=values["cmd"],
        site=values["site"],
        started=values["at"][0],
        commit=values["head"][:7] + ("+" if values["dirty"] else ""),
        score=values["score"],
        # The journal stores the worth under `G`.
        worths={day["name"]: day["G"] for day in values["days"]},
        digest=values["digest"],
    )
