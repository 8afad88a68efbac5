"""Exit codes of the client."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Result of a command, as scripts see it."""

    DONE = 0
    NOT_ACCEPTED = 1
    INVALID = 2
    CONFLICT = 3
    MAY_BE_ACCEPTED = 4
    UNREACHABLE = 5
