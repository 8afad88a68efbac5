"""Formatting of a version move as lines of text."""

from __future__ import annotations

from typing import Any

from gypsumvane_cli.output import format_time


def move_lines(body: dict[str, Any]) -> list[str]:
    """Return the description of a move, its routes and its VMs."""
    move = body["move"]
    status = body.get("status") or {}
    lines = [
        f"{move['index']}: move {move['move_id']} {move['from_version']} -> "
        f"{move['to_version']}: {move_state(body)}",
        f"from {format_time(move['start_unix_s'])} to "
        f"{format_time(move['complete_by_unix_s'])}, "
        f"canary share {move['canary_share']}",
    ]
    reason = status.get("state_reason") or move.get("state_reason")
    if reason:
        lines.append(f"reason: {reason}")
    if status.get("current_version"):
        lines.append(f"current version {status['current_version']}")
    if status:
        late = ", will be late" if status["late"] else ""
        lines.append(f"{status['phase']}, share {status['share']:.3f}{late}")
        lines += [_route_line(route) for route in status["routes"]]
    revision = body["document"]["revision"]
    applied = status.get("applied", {})
    lines += [_vm_line(item, revision, applied) for item in body["vms"]]
    return lines


def move_state(body: dict[str, Any]) -> str:
    """Return the state of a move.

    A daemon may already have taken the move back while the document still
    holds the earlier state.
    """
    status = body.get("status") or {}
    same_move = status.get("move_id") == body["move"]["move_id"]
    if same_move and status["state"] == "taken_back":
        return "taken_back"
    return str(body["move"]["state"])


def _route_line(route: dict[str, Any]) -> str:
    return (
        f"route {route['route']}: new version {route['new_answers']} answers "
        f"({route['new_failures']} failed, {route['new_slow']} slow), old version "
        f"{route['old_answers']} ({route['old_failures']} failed, "
        f"{route['old_slow']} slow), {route['good_needed']} good ones needed"
    )


def _vm_line(item: dict[str, Any], revision: int, applied: dict[str, Any]) -> str:
    if not item["reached"]:
        return f"{item['vm_id']}: not reached"
    state = "in force" if item["revision"] >= revision else "behind"
    line = f"{item['vm_id']}: revision {item['revision']} ({state})"
    share = applied.get(item["vm_id"])
    return line if share is None else f"{line}, share {share:.3f}"
