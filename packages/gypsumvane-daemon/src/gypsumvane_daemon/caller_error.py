"""Error of requests that are refused before they reach another service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_core.reason import Reason


class CallerError(Exception):
    """Signal an invalid or refused request; no part of it ran.

    ``status`` overrides the HTTP status that belongs to the reason.
    """

    def __init__(
        self, reason: Reason, message: str, *, status: int | None = None
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.message = message
        self.status = status
