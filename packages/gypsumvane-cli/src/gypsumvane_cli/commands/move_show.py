"""Command that shows a version move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_cli.command import Command
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import validate_name
from gypsumvane_cli.move_lines import move_lines

if TYPE_CHECKING:
    from gypsumvane_cli.command import CommandContext


class MoveShow(Command):
    """Show the state of a move and its revision on each VM."""

    words = "move show"
    arguments = ("INDEX",)
    summary = "show a version move and where it is in force"

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Print the current state of the move."""
        index = validate_name(arguments[0])
        body = await context.read(f"/v1/moves/{index}")
        context.output.show(body, *move_lines(body))
        return ExitCode.DONE
