"""Updates of the routing state from the store."""

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
    """Bring newer configurations into force."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        # The undecoded form of the version in force, for peers.
        self.record: Record[RoutingConfig] | None = None

    def on_list(
        self, listing: RecordList[RoutingConfig], *, after_outage: bool
    ) -> None:
        """Take a complete list."""
        for record in listing.records:
            self.apply(record, origin="list")

    def on_changes(self, changes: RecordChanges[RoutingConfig]) -> None:
        """Take changes in order."""
        for _, record in changes.changes:
            # A configuration that was removed stays in force.
            if record is not None:
                self.apply(record, origin="watch")

    def apply(self, record: Record[RoutingConfig], *, origin: str) -> None:
        """Apply a configuration unless it is older than the one in force."""
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
    """Follow the registered leaves."""

    def __init__(self, state: RoutingState, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    def on_list(self, listing: RecordList[LeafEntry], *, after_outage: bool) -> None:
        """Take a complete list."""
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
        """Take changes in order."""
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
    """Follow the failure domains that operators have taken out."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._domains: set[str] = set()

    def on_list(self, listing: RecordList[str], *, after_outage: bool) -> None:
        """Take a complete list."""
        self._domains = {record.value for record in listing.records}
        self._state.domains_known = True
        self._apply(listing.revision)

    def on_changes(self, changes: RecordChanges[str]) -> None:
        """Take changes in order."""
        for name, record in changes.changes:
            if record is None:
                self._domains.discard(name)
            else:
                self._domains.add(record.value)
        self._apply(changes.revision)

    def _apply(self, revision: int) -> None:
        self._state.registry.set_domains_out(self._domains)
        logger.info(
            "evacuated failure domains",
            extra={"failure_domains": sorted(self._domains), "revision": revision},
        )
