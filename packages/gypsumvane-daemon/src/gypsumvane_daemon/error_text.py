"""Text of caught exceptions."""

from __future__ import annotations


def describe_error(error: BaseException) -> str:
    """Return the type and message; some exceptions of libraries have no message."""
    return f"{type(error).__name__}: {error}"
