"""Command that lists the VMs of the view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_cli.command import Command
from gypsumvane_cli.exit_code import ExitCode

if TYPE_CHECKING:
    from gypsumvane_cli.command import CommandContext

COLUMNS = (
    "vm_id",
    "failure_domain",
    "live",
    "leaving",
    "peer_address",
    "caller_address",
    "operator_address",
)


class VmList(Command):
    """Show the members of the view and whether they are live or leaving."""

    words = "vm list"
    summary = "list the VMs of the view: live, leaving, addresses"

    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Print the VMs as a table, with the state of the queried daemon."""
        body = await context.read("/v1/vms")
        state = body.get("asked_vm_state") or "unknown"
        note = f"asked {body['asked_vm']} ({state}), epoch {body['epoch'] or '-'}"
        context.output.show_table(body, columns=COLUMNS, rows=body["vms"], notes=[note])
        return ExitCode.DONE
