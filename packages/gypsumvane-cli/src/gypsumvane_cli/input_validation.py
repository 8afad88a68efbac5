"""Validation of command-line input before a request is sent."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime

from pydantic import TypeAdapter
from pydantic import ValidationError

from gypsumvane_cli.errors import usage_error
from gypsumvane_core.document_models import Name

_NAME = TypeAdapter(Name)


def validate_name(text: str) -> str:
    """Return the name unchanged; raises CommandError when it is not valid."""
    try:
        return _NAME.validate_python(text)
    except ValidationError as error:
        raise usage_error(f"{text!r} is not a valid name") from error


def parse_time(text: str) -> float:
    """Return the Unix time of ``now``, a number or an ISO 8601 time.

    A time without an offset is in UTC. Raises CommandError for any other text.
    """
    if text == "now":
        return datetime.now(tz=UTC).timestamp()
    try:
        return float(text)
    except ValueError:
        pass
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise usage_error(
            f"{text!r} is not a time: expected now, a Unix time or an ISO 8601 time"
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()
