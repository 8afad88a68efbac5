"""Command that lists the failure domains that are out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_cli.command import Command
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.output import format_time

if TYPE_CHECKING:
    from gypsumvane_cli.command import CommandContext

COLUMNS = ("failure_domain", "reason", "author", "since")


class DomainList(Command):
    """List the failure domains that are out, with reason, author and time."""

    words = "domain list"
    summary = "list the failure domains that are out, with reasons"

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Print the failure domains as a table."""
        body = await context.read("/v1/domains")
        rows = [
            {**item, "since": format_time(item["since_unix_s"])} for item in body["out"]
        ]
        context.output.show_table(body, columns=COLUMNS, rows=rows)
        return ExitCode.DONE
