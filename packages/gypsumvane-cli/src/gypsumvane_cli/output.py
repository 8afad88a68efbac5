"""Output as text tables or JSON."""

from __future__ import annotations

import json
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any
from typing import TextIO

if TYPE_CHECKING:
    from collections.abc import Sequence


class Output:
    """Print values in the selected output format."""

    def __init__(self, stream: TextIO, *, output_format: str) -> None:
        self._stream = stream
        self._output_format = output_format

    def show(self, value: dict[str, Any], *lines: str) -> None:
        """Print the value as JSON, or the lines as text."""
        if self._output_format == "json":
            self._print(json.dumps(value, indent=2, sort_keys=True))
            return
        for line in lines:
            self._print(line)

    def show_table(
        self,
        value: dict[str, Any],
        *,
        columns: Sequence[str],
        rows: Sequence[dict[str, Any]],
        notes: Sequence[str] = (),
    ) -> None:
        """Print the value as JSON, or the rows as a table followed by the notes."""
        self.show(value, *_table(columns, rows), *notes)

    def _print(self, line: str) -> None:
        print(line, file=self._stream)


def format_time(unix_s: float) -> str:
    """Return a Unix time as ISO 8601 text in UTC."""
    return datetime.fromtimestamp(unix_s, tz=UTC).isoformat(timespec="seconds")


def _table(columns: Sequence[str], rows: Sequence[dict[str, Any]]) -> list[str]:
    cells = [list(columns)]
    cells += [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        return json.dumps(value)
    return str(value)
