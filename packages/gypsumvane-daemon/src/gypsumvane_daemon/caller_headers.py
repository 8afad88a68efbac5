"""Parsing of the request headers of the caller API."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.reason import Reason
from gypsumvane_daemon.caller_error import CallerError

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_ID = "Request-Id"
CALLER_ID = "Caller-Id"
DEADLINE_MS = "Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"

DEADLINE_MS_MAX = 60_000
_TOKEN = re.compile(r"[\x21-\x7e]{1,128}")


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Validated headers of a request; missing texts are empty."""

    caller_id: str
    # Time the caller waits for the answer; None selects the policy's deadline.
    deadline_ms: int | None
    idempotency_key: str


def read_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Parse the optional headers.

    Raises CallerError if a header is invalid.
    """
    return CallerHeaders(
        caller_id=read_token(headers, CALLER_ID),
        deadline_ms=_read_deadline_ms(headers),
        idempotency_key=read_token(headers, IDEMPOTENCY_KEY),
    )


def read_token(headers: Mapping[str, str], name: str) -> str:
    """Return an optional header, empty if missing.

    Raises CallerError unless it has 1 to 128 visible ASCII characters.
    """
    value = headers.get(name, "")
    if value and not _TOKEN.fullmatch(value):
        raise CallerError(
            Reason.BAD_REQUEST, f"{name} must have 1 to 128 visible ASCII characters"
        )
    return value


def _read_deadline_ms(headers: Mapping[str, str]) -> int | None:
    text = headers.get(DEADLINE_MS)
    if text is None:
        return None
    if not re.fullmatch(r"[0-9]{1,5}", text) or not 1 <= int(text) <= DEADLINE_MS_MAX:
        raise CallerError(
            Reason.BAD_REQUEST,
            f"{DEADLINE_MS} must be an integer from 1 to {DEADLINE_MS_MAX}",
        )
    return int(text)
