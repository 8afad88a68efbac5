"""Documents in local files."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from gypsumvane_cli.errors import usage_error
from gypsumvane_core.document import parse_body


def read_document_file(name: str, file: str) -> dict[str, Any]:
    """Return the body in a JSON or TOML file.

    Raises CommandError when it is not a valid document of this name.
    """
    path = Path(file)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{file}: cannot read: {error}") from error
    try:
        body = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except ValueError as error:
        raise usage_error(
            f"{file}: not valid {path.suffix or 'JSON'}: {error}"
        ) from error
    if not isinstance(body, dict):
        raise usage_error(f"{file}: not a JSON object")
    try:
        parse_body(name, json.dumps(body).encode())
    except ValidationError as error:
        raise usage_error(f"{file}: {first_validation_error(error)}") from error
    except (TypeError, ValueError) as error:
        raise usage_error(f"{file}: {error}") from error
    return body


def first_validation_error(error: ValidationError) -> str:
    """Return key and rule of the first problem."""
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"]) or "document"
    return f"key {key}: {first['msg']}"
