"""Command that shows configuration documents."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import quote

from gypsumvane_cli.command import Command
from gypsumvane_cli.errors import usage_error
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_core.document import INDEX_PREFIX

if TYPE_CHECKING:
    from gypsumvane_cli.command import CommandContext

COLUMNS = ("name", "revision", "author", "reason", "change_id")


class ConfigShow(Command):
    """List all documents, or show one with its revision on each VM."""

    words = "config show"
    arguments = ("[NAME]",)
    summary = "show documents, or one with its body and where it is in force"

    def check_arguments(self, arguments: list[str]) -> None:
        """Raise CommandError when more than one name is given."""
        if len(arguments) > 1:
            raise usage_error(f"usage: gypsumvane {self.usage()}")

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Print the list of documents or a single document."""
        if not arguments:
            body = await context.read("/v1/documents")
            rows = body["documents"]
            context.output.show_table(body, columns=COLUMNS, rows=rows)
            return ExitCode.DONE
        await self._show_one(arguments[0], context)
        return ExitCode.DONE

    async def _show_one(self, name: str, context: CommandContext) -> None:
        path = quote(name)
        body = await context.read(f"/v1/documents/{path}")
        in_force = await context.read(f"/v1/in-force/{path}")
        context.output.show(
            {**body, "vms": in_force["vms"]},
            f"{name}: revision {body['revision']} by {body['author']} "
            f"({body['reason']}), change {body['change_id']}",
            *_version_lines(name, body["body"]),
            json.dumps(body["body"], indent=2),
            *(_vm_line(item) for item in in_force["vms"]),
        )


def _version_lines(name: str, body: dict[str, object]) -> list[str]:
    if not name.startswith(INDEX_PREFIX):
        return []
    version = body.get("current_version") or "none, all leaves may be used"
    return [f"current version: {version}"]


def _vm_line(item: dict[str, object]) -> str:
    if not item["reached"]:
        return f"{item['vm_id']}: not reached"
    return f"{item['vm_id']}: revision {item['revision']} in force"
