"""Command that shows the routing state of a leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_cli.command import Command
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import validate_name

if TYPE_CHECKING:
    from gypsumvane_cli.command import CommandContext

COLUMNS = ("key", "value")


class LeafExplain(Command):
    """Show the home, grade, state, limit and queue of a leaf."""

    words = "leaf explain"
    arguments = ("ID",)
    summary = "explain a leaf: home, grade, state, limit, queue, brief"

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Print the state of the leaf as the queried daemon sees it."""
        leaf_id = validate_name(arguments[0])
        body = await context.read(f"/v1/leaves/{leaf_id}")
        rows = [{"key": key, "value": value} for key, value in body.items()]
        context.output.show_table(body, columns=COLUMNS, rows=rows)
        return ExitCode.DONE
