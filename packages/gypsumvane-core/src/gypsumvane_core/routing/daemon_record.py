"""Description of a daemon that is shared with its peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class DaemonRecord:
    """Describe the identity, addresses and capacity of a daemon."""

    name: str
    failure_domain: str
    # HOST:PORT for callers.
    entry_address: str
    # HOST:PORT for peers.
    peer_address: str
    # CPU capacity of the VM in cores.
    capacity_cores: float = 1.0


def rank_by_capacity(records: Iterable[DaemonRecord]) -> list[DaemonRecord]:
    """Return the records by descending CPU capacity, ties by name."""
    return sorted(records, key=lambda record: (-record.capacity_cores, record.name))
