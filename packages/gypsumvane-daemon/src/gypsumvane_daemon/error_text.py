"""Formatting of exceptions for log lines and error messages."""

from __future__ import annotations


def describe_error(error: BaseException) -> str:
    """Return the type and message; some library exceptions have an empty message."""
    return f"{type(error).__name__}: {error}"


def release_frames(error: BaseException) -> None:
    """Drop the frames that an error and its causes refer to.

    The frames of a failed response hold the received bytes. A connection that stores
    the error forms a cycle with them, which the garbage collector frees late.
    """
    pending: list[BaseException | None] = [error]
    while pending:
        found = pending.pop()
        if found is not None and found.__traceback__ is not None:
            found.__traceback__ = None
            pending += (found.__cause__, found.__context__)
