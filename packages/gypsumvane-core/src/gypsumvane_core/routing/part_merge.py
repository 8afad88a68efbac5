"""Merging of the records of several parts."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    A remainder shorter than a record is not one.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records += [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]
    return b"".join(nlargest(records_max, records))
