"""Command that takes a version move back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import flags

from gypsumvane_cli.change_flags import change_fields
from gypsumvane_cli.change_flags import define_change_flags
from gypsumvane_cli.change_flags import send_change
from gypsumvane_cli.command import Command
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import validate_name
from gypsumvane_cli.operator_client import ChangeRequest

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.command import CommandContext


class MoveTakeBack(Command):
    """Return all traffic of an index to the old version."""

    words = "move take-back"
    arguments = ("INDEX",)
    summary = "take a version move back; this is final for the move"

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of this command."""
        define_change_flags(values)
        flags.DEFINE_string(
            "move_id",
            "",
            "take back only if this is the identifier of the current move",
            flag_values=values,
        )

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Send the change and print the VMs on which it is in force."""
        index = validate_name(arguments[0])
        fields = change_fields(context)
        request = ChangeRequest(
            method="POST",
            path=f"/v1/moves/{index}/take-back",
            document=f"move/{index}",
            change_id=fields["change_id"],
            body={**fields, "move_id": context.flag("move_id")},
        )
        await send_change(request, context)
        return ExitCode.DONE
