"""Base class of the commands that take a failure domain out or in."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar
from urllib.parse import quote

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


class DomainChange(Command):
    """Set whether a failure domain is out of service."""

    arguments = ("NAME",)
    # Last segment of the request path, "out" or "in".
    action: ClassVar[str]

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags that every change has."""
        define_change_flags(values)

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Send the change and print the VMs on which it is in force."""
        domain = validate_name(arguments[0])
        fields = change_fields(context)
        request = ChangeRequest(
            method="POST",
            path=f"/v1/domains/{quote(domain, safe='')}/{self.action}",
            document="domains",
            change_id=fields["change_id"],
            body=fields,
        )
        await send_change(request, context)
        return ExitCode.DONE
