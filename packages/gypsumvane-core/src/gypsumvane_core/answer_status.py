"""Statuses that an answer of an upstream may have."""

from __future__ import annotations

from enum import StrEnum

SWITCHING_PROTOCOLS = 101


class StatusKind(StrEnum):
    """Name what the status of a response says about further responses."""

    # Another response to the same request follows.
    INTERIM = "interim"
    # This is the answer.
    FINAL = "final"
    # No request of this project gets this status; what follows belongs to none.
    INVALID = "invalid"


def classify_status(status: int) -> StatusKind:
    """Return the kind of a status.

    A change of the protocol is invalid, because no request asks for one.
    """
    if 200 <= status <= 599:
        return StatusKind.FINAL
    if 100 <= status <= 199 and status != SWITCHING_PROTOCOLS:
        return StatusKind.INTERIM
    return StatusKind.INVALID
