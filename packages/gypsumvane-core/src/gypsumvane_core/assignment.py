"""Assignment of leaves and keys to home VMs by rendezvous hashing."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

# Leaves of one service share a name up to a replica suffix: digits, or one letter
# after a separator.
_REPLICA = re.compile(r"^(?P<group>.*?)(?P<suffix>\d+|(?<=[-._])[a-z])$")
# Bounds the work for services with many numbered leaves.
REPLICAS_MAX = 8


@dataclass(frozen=True, slots=True)
class Replica:
    """Describe the position of a leaf among the leaves of its service."""

    leaf_id: str
    # Identifiers of the leaves that are assigned a home before this one.
    earlier: tuple[str, ...]


def replica_of(leaf_id: str) -> Replica:
    """Derive the earlier leaves of the same service from the identifier.

    The result must not depend on documents: daemons with different revisions
    would assign the same leaf to different homes in the same epoch.
    """
    match = _REPLICA.match(leaf_id)
    if match is None:
        return Replica(leaf_id=leaf_id, earlier=())
    group, suffix = match["group"], match["suffix"]
    if suffix.isdigit():
        number = int(suffix)
        numbers = range(number - number % REPLICAS_MAX, number)
        earlier = tuple(f"{group}{n:0{len(suffix)}d}" for n in numbers)
    else:
        number = ord(suffix) - ord("a")
        numbers = range(number - number % REPLICAS_MAX, number)
        earlier = tuple(f"{group}{chr(ord('a') + n)}" for n in numbers)
    return Replica(leaf_id=leaf_id, earlier=earlier)


def rank(name: str, vm_ids: Sequence[str]) -> list[str]:
    """Return the VMs in descending order of rendezvous weight for a name."""
    return sorted(
        vm_ids,
        key=lambda vm_id: (weight(name, vm_id), vm_id),
        reverse=True,
    )


def preferred_homes(leaf_id: str, vm_ids: Sequence[str]) -> list[str]:
    """Return the VMs in the order in which they become home of a leaf.

    The order is a function of the view alone. Daemons that know different
    ``gone`` facts only skip different dead VMs of the same list, so no two
    live daemons take the same leaf in one epoch.
    """
    if not vm_ids:
        return []
    used: list[str] = []
    for earlier in replica_of(leaf_id).earlier:
        free = [vm_id for vm_id in vm_ids if vm_id not in used]
        if not free:
            used.clear()
            free = list(vm_ids)
        used.append(max(free, key=lambda vm: (weight(earlier, vm), vm)))
    ranked = rank(leaf_id, vm_ids)
    return sorted(ranked, key=lambda vm_id: vm_id in used)


def weight(name: str, vm_id: str) -> int:
    """Return the rendezvous weight of a VM for a name."""
    return xxh64_intdigest(f"{name}\0{vm_id}".encode())
