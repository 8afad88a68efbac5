"""Command that starts a version move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import flags
from pydantic import ValidationError

from gypsumvane_cli.change_flags import change_fields
from gypsumvane_cli.change_flags import define_change_flags
from gypsumvane_cli.change_flags import send_change
from gypsumvane_cli.command import Command
from gypsumvane_cli.document_file import first_validation_error
from gypsumvane_cli.errors import usage_error
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import parse_time
from gypsumvane_cli.input_validation import validate_name
from gypsumvane_cli.operator_client import ChangeRequest
from gypsumvane_core.document_models import MoveDocument

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.command import CommandContext

REQUIRED_FLAGS = ("move_id", "from_version", "to_version", "complete_by")


class MoveStart(Command):
    """Schedule the move of an index to a new version."""

    words = "move start"
    arguments = ("INDEX",)
    summary = "move an index to another version by a set time"

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of this command."""
        define_change_flags(values)
        for name, text in (
            ("move_id", "identifier of the move; must not have been used before"),
            ("from_version", "current version of the index"),
            ("to_version", "version to move to"),
            ("complete_by", "Unix time or ISO 8601 time by which the move is complete"),
        ):
            flags.DEFINE_string(name, "", text, flag_values=values)
        flags.DEFINE_string(
            "start",
            "now",
            "time at which traffic starts to move: now, Unix time or ISO 8601 time",
            flag_values=values,
        )
        flags.DEFINE_float(
            "canary_share",
            None,
            "share of traffic for the new version until enough answers have been "
            "compared; defaults to the policy",
            flag_values=values,
        )

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Send the move and print the VMs on which it is in force."""
        index = validate_name(arguments[0])
        for name in REQUIRED_FLAGS:
            if not context.flag(name):
                raise usage_error(f"--{name} is missing")
        move = self._move(index, context)
        fields = change_fields(context)
        # The index is in the path; the daemon sets the other fields.
        excluded = {"index", "state", "state_reason", "index_revision"}
        body = {**fields, **move.model_dump(exclude=excluded)}
        if context.flag("canary_share") is None:
            del body["canary_share"]
        request = ChangeRequest(
            method="POST",
            path=f"/v1/moves/{index}/start",
            document=f"move/{index}",
            change_id=fields["change_id"],
            body=body,
        )
        await send_change(request, context)
        return ExitCode.DONE

    def _move(self, index: str, context: CommandContext) -> MoveDocument:
        share = context.flag("canary_share")
        try:
            return MoveDocument(
                move_id=context.flag("move_id"),
                index=index,
                from_version=context.flag("from_version"),
                to_version=context.flag("to_version"),
                start_unix_s=parse_time(context.flag("start")),
                complete_by_unix_s=parse_time(context.flag("complete_by")),
                **({} if share is None else {"canary_share": share}),
            )
        except ValidationError as error:
            raise usage_error(first_validation_error(error)) from error
