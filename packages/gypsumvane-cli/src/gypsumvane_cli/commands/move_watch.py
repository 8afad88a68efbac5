"""Command that follows a version move until it ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from gypsumvane_cli.command import Command
from gypsumvane_cli.command import require_success
from gypsumvane_cli.errors import CommandError
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import validate_name
from gypsumvane_cli.move_lines import move_lines
from gypsumvane_cli.move_lines import move_state

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.command import CommandContext


class MoveWatch(Command):
    """Print each change of a move until it is done or taken back."""

    words = "move watch"
    arguments = ("INDEX",)
    summary = "follow a move; exits with 0 when done, 1 when taken back"

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of this command."""
        flags.DEFINE_float(
            "interval_s",
            1.0,
            "time between two polls, in seconds",
            lower_bound=0.01,
            flag_values=values,
        )

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Poll the move and print it whenever it has changed."""
        index = validate_name(arguments[0])
        shown: list[str] = []
        while True:
            move = await self._poll(index, context)
            if move is not None:
                lines = move_lines(move)
                if lines != shown:
                    context.output.show(move, *lines)
                    shown = lines
                state = move_state(move)
                if state == "done":
                    return ExitCode.DONE
                if state == "taken_back":
                    return ExitCode.NOT_ACCEPTED
            await asyncio.sleep(context.flag("interval_s"))

    async def _poll(self, index: str, context: CommandContext) -> dict[str, Any] | None:
        """Return the move, or None when no daemon is reachable or able to answer."""
        try:
            response = await context.client.read(f"/v1/moves/{index}")
        except CommandError as error:
            if error.code is not ExitCode.UNREACHABLE:
                raise
            return None
        if response.status >= 500:
            return None
        require_success(response)
        return response.body
