"""A version move as lines of text."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import Any


def move_lines(body: dict[str, Any]) -> list[str]:
    """Return the move and where it is in force."""
    move = body["move"]
    lines = [
        f"{move['index']}: move {move['move_id']} {move['from_version']} -> "
        f"{move['to_version']}: {move['state']}",
        f"from {_time(move['start_unix_s'])} to {_time(move['complete_by_unix_s'])}, "
        f"canary share {move['canary_share']}",
    ]
    if move.get("state_reason"):
        lines.append(f"reason: {move['state_reason']}")
    revision = body["document"]["revision"]
    lines += [_vm_line(item, revision) for item in body["vms"]]
    return lines


def _time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, tz=UTC).isoformat(timespec="seconds")


def _vm_line(item: dict[str, Any], revision: int) -> str:
    if not item["reached"]:
        return f"{item['vm_id']}: not reached"
    state = "in force" if item["revision"] >= revision else "behind"
    return f"{item['vm_id']}: revision {item['revision']} ({state})"
