"""Mapping of keys to services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def service_of_key(key: str, services: Iterable[str]) -> str:
    """Return the service that holds a key, by hash over the sorted services.

    Lookups and bookings both use this function, so that those of one key reach
    the same service. Raises ValueError when there are no services.
    """
    ordered = sorted(services)
    if not ordered:
        raise ValueError("expected at least one service, got none")
    return ordered[xxh64_intdigest(key.encode(), seed=1) % len(ordered)]
