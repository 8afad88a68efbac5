"""Reading and validation of configuration documents in local files."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from gypsumvane_cli.errors import usage_error
from gypsumvane_core.document import parse_body


def read_document_file(name: str, file: str) -> dict[str, Any]:
    """Return the document body that a JSON or TOML file holds.

    Raises CommandError when the file cannot be read or the body is not valid
    for the document of this name.
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
        raise usage_error(
            f"{file}: expected an object at the top level, got {type(body).__name__}"
        )
    try:
        parse_body(name, json.dumps(body).encode())
    except ValidationError as error:
        raise usage_error(f"{file}: {first_validation_error(error)}") from error
    except (TypeError, ValueError) as error:
        raise usage_error(f"{file}: {error}") from error
    return body


def first_validation_error(error: ValidationError) -> str:
    """Return the key and the message of the first validation error."""
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"]) or "document"
    return f"key {key}: {first['msg']}"
