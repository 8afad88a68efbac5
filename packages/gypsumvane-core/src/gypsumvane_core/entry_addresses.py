"""Ordered list of addresses that callers connect to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.assignment import rank

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from gypsumvane_core.messages import Member


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """List the addresses for a caller and how long the list may be cached."""

    addresses: tuple[str, ...]
    keep_s: float


def order_entry_addresses(
    members: Iterable[Member],
    *,
    failure_domain: str,
    out_domains: Collection[str],
    shuffle_key: str,
    keep_s: float,
) -> EntryAddresses:
    """List the caller's failure domain first, shuffled by rendezvous hashing.

    ``shuffle_key`` differs between requests, so that callers get different orders.
    """
    by_vm = {
        m.vm_id: m
        for m in members
        if not m.leaving and m.failure_domain not in out_domains and m.caller_address
    }
    ranked = rank(shuffle_key, sorted(by_vm))
    ranked.sort(key=lambda vm_id: by_vm[vm_id].failure_domain != failure_domain)
    addresses = tuple(by_vm[vm_id].caller_address for vm_id in ranked)
    return EntryAddresses(addresses=addresses, keep_s=keep_s)
