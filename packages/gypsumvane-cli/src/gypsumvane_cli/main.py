"""Entry point of the command-line client."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING
from typing import TextIO

from absl import flags

from gypsumvane_cli.command import CommandContext
from gypsumvane_cli.commands.config_set import ConfigSet
from gypsumvane_cli.commands.config_show import ConfigShow
from gypsumvane_cli.commands.domain_in import DomainBringIn
from gypsumvane_cli.commands.domain_list import DomainList
from gypsumvane_cli.commands.domain_out import DomainTakeOut
from gypsumvane_cli.commands.leaf_explain import LeafExplain
from gypsumvane_cli.commands.move_show import MoveShow
from gypsumvane_cli.commands.move_start import MoveStart
from gypsumvane_cli.commands.move_take_back import MoveTakeBack
from gypsumvane_cli.commands.move_watch import MoveWatch
from gypsumvane_cli.commands.vm_list import VmList
from gypsumvane_cli.errors import CommandError
from gypsumvane_cli.errors import usage_error
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.operator_client import OperatorClient
from gypsumvane_cli.options import current_user
from gypsumvane_cli.options import define_options
from gypsumvane_cli.options import read_options
from gypsumvane_cli.output import Output

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from gypsumvane_cli.command import Command

COMMANDS: tuple[type[Command], ...] = (
    ConfigShow,
    ConfigSet,
    DomainTakeOut,
    DomainBringIn,
    DomainList,
    MoveStart,
    MoveWatch,
    MoveTakeBack,
    MoveShow,
    VmList,
    LeafExplain,
)
PROGRAM = "gypsumvane"


def run() -> None:
    """Run the client with the arguments of this process and exit."""
    sys.exit(main(sys.argv[1:], environment=os.environ, out=sys.stdout))


def main(
    arguments: Sequence[str], *, environment: Mapping[str, str], out: TextIO
) -> ExitCode:
    """Run one command and return its exit code."""
    try:
        return _run(list(arguments), environment=environment, out=out)
    except CommandError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return error.code


def _run(
    arguments: list[str], *, environment: Mapping[str, str], out: TextIO
) -> ExitCode:
    arguments = [_normalize_flag(argument) for argument in arguments]
    words = _positional_words(arguments)
    if not words or words[0] == "help":
        print(_help(), file=out)
        return ExitCode.DONE if words else ExitCode.INVALID
    command = _find_command(words)
    values = _flag_values()
    command.define_flags(values)
    positional = _parse(values, arguments)[len(command.words.split()) :]
    command.check_arguments(positional)
    options = read_options(values, environment)
    output = Output(out, output_format=options.output)

    async def run_with_client() -> ExitCode:
        async with OperatorClient(options) as client:
            context = CommandContext(
                client=client, output=output, flags=values, author=current_user()
            )
            return await command.run(positional, context)

    return asyncio.run(run_with_client())


def _normalize_flag(argument: str) -> str:
    """Return a flag with underscores, so that ``--change-id`` is accepted."""
    if not argument.startswith("--"):
        return argument
    name, equals, value = argument.partition("=")
    return "--" + name[2:].replace("-", "_") + equals + value


def _flag_values() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    define_options(values)
    return values


def _positional_words(arguments: list[str]) -> list[str]:
    """Return the positional arguments.

    The command is not known yet, so the flags of all commands are accepted.
    """
    values = _flag_values()
    for command in COMMANDS:
        # Several commands define the same flag; the first definition is used.
        command_values = flags.FlagValues()
        command().define_flags(command_values)
        for name in command_values:
            if name not in values:
                values[name] = command_values[name]
    return _parse(values, arguments)


def _parse(values: flags.FlagValues, arguments: list[str]) -> list[str]:
    try:
        return list(values([PROGRAM, *arguments])[1:])
    except flags.Error as error:
        raise usage_error(str(error)) from error


def _find_command(words: list[str]) -> Command:
    for command in COMMANDS:
        command_words = command.words.split()
        if words[: len(command_words)] == command_words:
            return command()
    raise usage_error(f"unknown command: {' '.join(words[:2])}\n{_help()}")


def _help() -> str:
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENTS] [FLAGS]", "", "commands:"]
    lines += [f"  {item().usage():<28} {item.summary}" for item in COMMANDS]
    lines += ["", "flags:", _flag_values().get_help()]
    return "\n".join(lines)
