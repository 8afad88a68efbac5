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

# Stands for a text that cannot be read. It does not encode as UTF-8.
UNREADABLE_TEXT = "\udcff"

_SURROGATE = re.compile("[\ud800-\udfff]")
_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
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
    """Return the value of a JSON text, with marks for the parts that cannot be read.

    For a list of entries of several writers, one of which must not hide the others;
    is_bounded tells which entries to drop. Parts beyond a bound become infinity, and
    texts that are no valid JSON string become UNREADABLE_TEXT. Raises ValueError if the
    text is malformed otherwise.
    """
    try:
        return json.loads(content, parse_int=_parse_int)
    except (RecursionError, ValueError):
        readable = mark_unreadable_texts(cut_deep_values(content))
        return json.loads(readable, parse_int=_parse_int)


def mark_unreadable_texts(content: bytes) -> bytes:
    """Replace each string that is not valid JSON, for instance not UTF-8."""
    return _TEXT.sub(_readable_text, content)


def _readable_text(match: re.Match[bytes]) -> bytes:
    try:
        json.loads(match[0])
    except ValueError:
        return json.dumps(UNREADABLE_TEXT).encode()
    return match[0]


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
        if not all(_is_plain(entry) for entry in level):
            return False
        level = [part for entry in level for part in _parts(entry)]
        if not level:
            return True
    return False


def _is_plain(value: Any) -> bool:
    """Return whether a value is no infinite number and no unreadable text."""
    if isinstance(value, float):
        return isfinite(value)
    return not isinstance(value, str) or _SURROGATE.search(value) is None


def _parts(value: Any) -> list[Any]:
    """Return the values in an array, or the names and values in an object."""
    if isinstance(value, dict):
        return [*value, *value.values()]
    return value if isinstance(value, list) else []


def _finite(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError(f"{text[:DIGITS_MAX]} is not a finite number")
    return number


def _parse_int(text: str) -> int | float:
    return int(text) if len(text) <= DIGITS_MAX else inf
