"""Decoding of JSON from outside, with bounds on its nesting and its numbers."""

from __future__ import annotations

import json
import re
from math import inf
from math import isfinite
from typing import Any

# Deepest nesting of arrays and objects. The parser of the standard library raises
# RecursionError for a deeper text than the stack allows.
DEPTH_MAX = 64
# Longest integer. The conversion of one with thousands of digits raises ValueError.
DIGITS_MAX = 400

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def decode_json(content: bytes | str) -> Any:
    """Return the value of a JSON text.

    Raises ValueError if the text is malformed or exceeds a bound.
    """
    try:
        return json.loads(content, parse_float=_finite, parse_constant=_finite)
    except RecursionError as error:
        raise ValueError("the text is nested too deeply") from error


def decode_json_leniently(content: bytes) -> Any:
    """Return the value of a JSON text, with infinity for each part beyond a bound.

    For a list of entries of several writers, one of which must not hide the others;
    is_bounded tells which entries to drop. Raises ValueError if the text is malformed.
    """
    try:
        return json.loads(content, parse_int=_parse_int)
    except RecursionError:
        return json.loads(cut_deep_values(content), parse_int=_parse_int)


def cut_deep_values(content: bytes) -> bytes:
    """Replace each array or object that is nested too deeply by infinity."""
    kept: list[bytes] = []
    kept_from = 0
    depth = 0
    for token in _TOKEN.finditer(content):
        mark = token[0]
        if mark in (b"[", b"{"):
            depth += 1
            if depth == DEPTH_MAX + 1:
                kept += (content[kept_from : token.start()], b"Infinity")
        elif mark in (b"]", b"}"):
            if depth == DEPTH_MAX + 1:
                kept_from = token.end()
            depth -= 1
    if depth <= DEPTH_MAX:
        kept.append(content[kept_from:])
    return b"".join(kept)


def is_bounded(value: Any) -> bool:
    """Return whether a decoded value is within the bounds and encodes as JSON."""
    level = [value]
    for _ in range(DEPTH_MAX + 1):
        if any(isinstance(entry, float) and not isfinite(entry) for entry in level):
            return False
        level = [
            part
            for entry in level
            if isinstance(entry, (dict, list))
            for part in (entry.values() if isinstance(entry, dict) else entry)
        ]
        if not level:
            return True
    return False


def _finite(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError(f"{text[:DIGITS_MAX]} is not a finite number")
    return number


def _parse_int(text: str) -> int | float:
    return int(text) if len(text) <= DIGITS_MAX else inf
