"""Selection of entry daemons and division of limits across the fleet.

Entry daemons are those whose addresses callers are given.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.routing.daemon_record import rank_by_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.routing.daemon_record import DaemonRecord

# A gathered answer is merged by a single process, which takes more than twice as
# long on a VM with less than this share of the largest VM's CPU capacity.
CAPACITY_SHARE_MIN = 0.5
# With fewer entry daemons the loss of one would affect too many callers.
ENTRY_DAEMONS_MIN = 4
# Share of each fleet-wide limit that is divided among the entry daemons. The rest
# is for the other daemons, which get only a few requests.
ENTRY_LIMIT_SHARE = 0.9


def select_entries(records: Iterable[DaemonRecord]) -> list[DaemonRecord]:
    """Return the daemons with the most CPU capacity, largest first."""
    ranked = rank_by_capacity(records)
    if not ranked:
        return []
    capacity_min = ranked[0].capacity_cores * CAPACITY_SHARE_MIN
    large = [record for record in ranked if record.capacity_cores >= capacity_min]
    return large if len(large) >= ENTRY_DAEMONS_MIN else ranked[:ENTRY_DAEMONS_MIN]


def limit_share(name: str, entries: Iterable[DaemonRecord], daemons: int) -> float:
    """Return the share of a fleet-wide limit that a daemon may use.

    daemons is the number of daemons in the fleet.
    """
    names = {entry.name for entry in entries}
    if not names or len(names) >= daemons:
        return 1.0 / max(1, daemons, len(names))
    if name in names:
        return ENTRY_LIMIT_SHARE / len(names)
    return (1.0 - ENTRY_LIMIT_SHARE) / (daemons - len(names))
