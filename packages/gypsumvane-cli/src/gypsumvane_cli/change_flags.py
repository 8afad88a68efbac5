"""Flags, request fields and output shared by all commands that make a change."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from gypsumvane_cli.command import require_success
from gypsumvane_cli.errors import usage_error

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.command import CommandContext
    from gypsumvane_cli.operator_client import ChangeRequest
    from gypsumvane_cli.operator_client import Response

REASON_LENGTH_MIN = 3


def define_change_flags(values: FlagValues) -> None:
    """Define the flags ``--reason`` and ``--change_id``."""
    flags.DEFINE_string("reason", "", "why the change is made", flag_values=values)
    flags.DEFINE_string(
        "change_id",
        "",
        "identifier of the change; repeat that of an earlier attempt so that the "
        "change is applied only once",
        flag_values=values,
    )


def change_fields(context: CommandContext) -> dict[str, Any]:
    """Return the request fields that identify a change.

    Raises CommandError when the reason is missing or too short.
    """
    reason = context.flag("reason").strip()
    if len(reason) < REASON_LENGTH_MIN:
        raise usage_error(
            f"--reason is missing or too short: at least {REASON_LENGTH_MIN} characters"
        )
    return {
        "change_id": context.flag("change_id") or secrets.token_hex(12),
        "author": context.author,
        "reason": reason,
    }


async def send_change(request: ChangeRequest, context: CommandContext) -> None:
    """Send a change and print the VMs on which it is in force."""
    response = await context.client.change(request)
    require_success(response)
    context.output.show(response.body, *_lines(request, response))


def _lines(request: ChangeRequest, response: Response) -> list[str]:
    body = response.body
    lines = [
        f"{request.document}: revision {body.get('revision')} accepted "
        f"(change {request.change_id})"
    ]
    if "in_force" in body:
        lines.append(f"in force: {' '.join(body['in_force']) or '-'}")
        lines.append(f"not reached: {' '.join(body['not_reached']) or '-'}")
    lines += [f"warning: {text}" for text in body.get("warnings", [])]
    return lines
