"""Which daemons callers are sent to, and how common limits are divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.routing.daemon_record import rank_by_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.routing.daemon_record import DaemonRecord

# A gathered answer is computed by one process: on a VM with less than this part
# of the largest one's processor time it takes more than twice as long.
CAPACITY_SHARE_MIN = 0.5
# Fewer daemons would make the loss of one felt by too many callers.
ENTRY_DAEMONS_MIN = 4
# Part of common limits that is divided among the daemons that callers are sent
# to. The rest is for those that get only a few requests.
ENTRY_LIMIT_SHARE = 0.9


def select_entries(records: Iterable[DaemonRecord]) -> list[DaemonRecord]:
    """Return the daemons with most processor time."""
    ranked = rank_by_capacity(records)
    if not ranked:
        return []
    capacity_min = ranked[0].capacity_cores * CAPACITY_SHARE_MIN
    large = [record for record in ranked if record.capacity_cores >= capacity_min]
    return large if len(large) >= ENTRY_DAEMONS_MIN else ranked[:ENTRY_DAEMONS_MIN]


def limit_share(name: str, entries: Iterable[DaemonRecord], daemons: int) -> float:
    """Return the part of a common limit that a daemon may use."""
    names = {entry.name for entry in entries}
    if not names or len(names) >= daemons:
        return 1.0 / max(1, daemons, len(names))
    if name in names:
        return ENTRY_LIMIT_SHARE / len(names)
    return (1.0 - ENTRY_LIMIT_SHARE) / (daemons - len(names))
