"""Listeners that update the routing state from feeds."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gypsumvane_daemon.routing.store_feed import FeedListener

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.change_period import ChangePeriod
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

    def on_list(self, listing: RecordList[RoutingConfig], period: ChangePeriod) -> None:
        """Apply the listed configuration if it is newer."""
        for record in listing.records:
            self.apply(record, origin="list")

    def on_changes(
        self, changes: RecordChanges[RoutingConfig], period: ChangePeriod
    ) -> None:
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

    def on_list(self, listing: RecordList[LeafEntry], period: ChangePeriod) -> None:
        """Replace all leaves."""
        entries = [record.value for record in listing.records]
        now_s = self._clock.monotonic_s()
        self._state.registry.replace(entries, now_s, period)
        self._state.leaves_known = True
        logger.info(
            "leaves listed",
            extra={
                "leaves": len(entries),
                "revision": listing.revision,
                "age_max_ms": _age_max_ms(period, now_s),
                "after_outage": period.after_outage,
            },
        )

    def on_changes(
        self, changes: RecordChanges[LeafEntry], period: ChangePeriod
    ) -> None:
        """Add, update or remove the leaves that have changed."""
        now_s = self._clock.monotonic_s()
        age_max_ms = _age_max_ms(period, now_s)
        for name, record in changes.changes:
            if record is None:
                self._state.registry.remove(name, now_s, period)
                logger.info(
                    "leaf removed",
                    extra={
                        "leaf": name,
                        "age_max_ms": age_max_ms,
                        "after_outage": period.after_outage,
                        "revision": changes.revision,
                    },
                )
                continue
            entry = record.value
            applied = self._state.registry.put(entry, now_s, period)
            logger.info(
                "leaf changed",
                extra={
                    "leaf": name,
                    "applied": applied,
                    "sequence": entry.sequence,
                    "service": entry.service,
                    "draining": entry.draining,
                    "warmup_left_ms": entry.warmup_left_ms,
                    "age_max_ms": age_max_ms,
                    "revision": changes.revision,
                },
            )


class EvacuationListener(FeedListener[str]):
    """Apply the failure domains that operators have evacuated."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._domains: set[str] = set()

    def on_list(self, listing: RecordList[str], period: ChangePeriod) -> None:
        """Replace the evacuated failure domains."""
        listed = {record.value for record in listing.records}
        # An older copy lacks the latest evacuations until they are written again.
        self._domains = self._domains | listed if period.after_restore else listed
        self._state.domains_known = True
        self._apply(listing.revision)

    def on_changes(self, changes: RecordChanges[str], period: ChangePeriod) -> None:
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


def _age_max_ms(period: ChangePeriod, now_s: float) -> int:
    """Return how long ago the changes of a period may have been made."""
    return round((now_s - period.begin_s) * 1000)
