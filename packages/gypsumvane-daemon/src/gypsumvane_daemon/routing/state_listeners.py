"""Listeners that update the routing state from feeds."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gypsumvane_daemon.routing.store_feed import FeedListener

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.config import RoutingConfig
    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_daemon.routing.ports import Record
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList
    from gypsumvane_daemon.routing.routing_state import RoutingState

logger = logging.getLogger(__name__)


class ConfigListener(FeedListener["RoutingConfig"]):
    """Apply newer configurations to the routing state."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        # The configuration in force as stored, which peers fetch.
        self.record: Record[RoutingConfig] | None = None

    def on_list(
        self, listing: RecordList[RoutingConfig], *, after_outage: bool
    ) -> None:
        """Apply the listed configuration if it is newer."""
        for record in listing.records:
            self.apply(record, origin="list")

    def on_changes(self, changes: RecordChanges[RoutingConfig]) -> None:
        """Apply changed configurations that are newer."""
        for _, record in changes.changes:
            # A removed configuration stays in force.
            if record is not None:
                self.apply(record, origin="watch")

    def apply(self, record: Record[RoutingConfig], *, origin: str) -> None:
        """Apply a configuration if it is newer than the one in force.

        origin is where it came from: a list, a watch or the address of a peer.
        """
        before = self._state.version
        applied = self._state.apply(record.value)
        if applied:
            self.record = record
        logger.info(
            "configuration received",
            extra={
                "applied": applied,
                "version": record.value.version,
                "version_before": before,
                "origin": origin,
            },
        )


class LeafListener(FeedListener["LeafEntry"]):
    """Apply lists and changes of leaves to the registry."""

    def __init__(self, state: RoutingState, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    def on_list(self, listing: RecordList[LeafEntry], *, after_outage: bool) -> None:
        """Replace all leaves, with grace for missing ones after an outage."""
        entries = [record.value for record in listing.records]
        self._state.registry.replace(
            entries, self._clock.monotonic_s(), grace=after_outage
        )
        self._state.leaves_known = True
        logger.info(
            "leaves listed",
            extra={
                "leaves": len(entries),
                "revision": listing.revision,
                "after_outage": after_outage,
            },
        )

    def on_changes(self, changes: RecordChanges[LeafEntry]) -> None:
        """Add, update or remove the leaves that have changed."""
        now_s = self._clock.monotonic_s()
        for name, record in changes.changes:
            if record is None:
                self._state.registry.remove(name, now_s)
                logger.info(
                    "leaf removed", extra={"leaf": name, "revision": changes.revision}
                )
                continue
            entry = record.value
            self._state.registry.put(entry, now_s)
            logger.info(
                "leaf changed",
                extra={
                    "leaf": name,
                    "service": entry.service,
                    "draining": entry.draining,
                    "warmup_left_ms": entry.warmup_left_ms,
                    "revision": changes.revision,
                },
            )


class EvacuationListener(FeedListener[str]):
    """Apply the failure domains that operators have evacuated."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._domains: set[str] = set()

    def on_list(self, listing: RecordList[str], *, after_outage: bool) -> None:
        """Replace the evacuated failure domains."""
        self._domains = {record.value for record in listing.records}
        self._state.domains_known = True
        self._apply(listing.revision)

    def on_changes(self, changes: RecordChanges[str]) -> None:
        """Add or remove the failure domains that have changed."""
        for name, record in changes.changes:
            if record is None:
                self._domains.discard(name)
            else:
                self._domains.add(record.value)
        self._apply(changes.revision)

    def _apply(self, revision: int) -> None:
        self._state.registry.set_domains_out(self._domains)
        logger.info(
            "evacuated failure domains updated",
            extra={"failure_domains": sorted(self._domains), "revision": revision},
        )
