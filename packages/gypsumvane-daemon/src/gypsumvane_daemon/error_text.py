"""Formatting of exceptions for log lines and error messages."""

from __future__ import annotations


def describe_error(error: BaseException) -> str:
    """Return the type and message; some library exceptions have an empty message."""
    return f"{type(error).__name__}: {error}"
