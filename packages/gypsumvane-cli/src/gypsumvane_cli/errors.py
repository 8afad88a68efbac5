"""Errors that end a command."""

from __future__ import annotations

from gypsumvane_cli.exit_code import ExitCode


class CommandError(Exception):
    """Error that ends a command with a message and an exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


def usage_error(message: str) -> CommandError:
    """Return the error for wrong usage or invalid input."""
    return CommandError(ExitCode.INVALID, message)
