"""Choice of the service that holds a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def service_of_key(key: str, services: Iterable[str]) -> str:
    """Return the service that holds a key, by hash over the sorted services.

    Lookups and bookings of a key reach the same service only while both use
    this rule. Raises ValueError without services.
    """
    ordered = sorted(services)
    if not ordered:
        raise ValueError("no services")
    return ordered[xxh64_intdigest(key.encode(), seed=1) % len(ordered)]
