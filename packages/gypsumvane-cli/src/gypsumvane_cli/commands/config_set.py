"""Command that replaces a configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from absl import flags

from gypsumvane_cli.change_flags import change_fields
from gypsumvane_cli.change_flags import define_change_flags
from gypsumvane_cli.change_flags import send_change
from gypsumvane_cli.command import Command
from gypsumvane_cli.command import require_success
from gypsumvane_cli.document_file import read_document_file
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.operator_client import ChangeRequest

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.command import CommandContext


class ConfigSet(Command):
    """Replace the body of a document, or create the document."""

    words = "config set"
    arguments = ("NAME", "FILE")
    summary = "replace a document by a JSON or TOML file"

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of this command."""
        define_change_flags(values)
        flags.DEFINE_integer(
            "expect_revision",
            None,
            "revision that the change is based on; 0 creates the document; "
            "defaults to the current revision",
            lower_bound=0,
            flag_values=values,
        )

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Send the content of the file and print the VMs that have applied it."""
        name, file = arguments
        fields = change_fields(context)
        body = read_document_file(name, file)
        expected = context.flag("expect_revision")
        if expected is None:
            expected = await self._current_revision(name, context)
        request = ChangeRequest(
            method="PUT",
            path=f"/v1/documents/{quote(name)}",
            document=name,
            change_id=fields["change_id"],
            body={**fields, "expected_revision": expected, "body": body},
        )
        await send_change(request, context)
        return ExitCode.DONE

    async def _current_revision(self, name: str, context: CommandContext) -> int:
        response = await context.client.read(f"/v1/documents/{quote(name)}")
        if response.status == 404:
            return 0
        require_success(response)
        return int(response.body["revision"])
