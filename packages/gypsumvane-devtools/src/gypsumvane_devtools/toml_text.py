"""Write settings as TOML."""

from __future__ import annotations

import json
from typing import Any


def to_toml(values: dict[str, Any], *, path: str = "") -> str:
    """Return nested tables of plain values as TOML text."""
    lines = [
        f"{key} = {to_value(value)}"
        for key, value in values.items()
        if not isinstance(value, dict)
    ]
    for key, value in values.items():
        if isinstance(value, dict):
            name = f"{path}{key}"
            lines += ["", f"[{name}]", to_toml(value, path=f"{name}.")]
    return "\n".join(lines)


def to_value(value: Any) -> str:
    """Return a string, number, boolean or list of them as TOML."""
    # The JSON form of these types is valid TOML.
    return json.dumps(value)
