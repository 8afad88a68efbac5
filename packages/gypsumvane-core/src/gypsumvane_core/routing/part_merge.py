"""Merging of the records in the answers of several leaves."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Return the largest records of all bodies in descending order.

    Records compare bytewise. Trailing bytes that make no full record are ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records += [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]
    return b"".join(nlargest(records_max, records))
