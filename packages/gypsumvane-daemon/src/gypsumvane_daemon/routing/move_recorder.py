"""Exchange of version moves with the store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.routing.version_move import MoveState
from gypsumvane_daemon.routing.ports import StoreUnavailableError
from gypsumvane_daemon.routing.store_feed import FeedListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.change_period import ChangePeriod
    from gypsumvane_core.routing.version_move import MoveOrder
    from gypsumvane_core.routing.version_move import MoveRegistry
    from gypsumvane_core.routing.version_move import VersionMove
    from gypsumvane_daemon.routing.ports import Platform
    from gypsumvane_daemon.routing.ports import RecordChanges
    from gypsumvane_daemon.routing.ports import RecordList
    from gypsumvane_daemon.routing.routing_state import RoutingState

logger = logging.getLogger(__name__)

# Interval at which moves are checked for states to record. A daemon that takes a
# version back stops its own requests to it at once; the others stop when they read the
# recorded state.
POLL_INTERVAL_S = 0.2


class MoveRecorder(FeedListener["MoveOrder"]):
    """Apply orders from the store and write the states of moves back."""

    def __init__(
        self,
        registry: MoveRegistry,
        state: RoutingState,
        platform: Platform,
        is_leader: Callable[[], bool],
        running_since_s: Callable[[float], float],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._state = state
        self._platform = platform
        # Only the leader records progress; any daemon records that it took a version
        # back.
        self._is_leader = is_leader
        # Returns since when reports of peers could be received without a pause.
        self._running_since_s = running_since_s
        self._clock = clock

    def on_list(self, listing: RecordList[MoveOrder], period: ChangePeriod) -> None:
        """Apply all orders and remove moves without one."""
        named = {record.value.service for record in listing.records}
        for move in self._registry.all():
            # An older copy lacks the latest orders until they are written again.
            if period.after_restore:
                break
            if move.order.service not in named:
                self._registry.remove(move.order.service, listing.revision)
        for record in listing.records:
            self._apply(record.value)
        self._state.orders_known = True

    def on_changes(
        self, changes: RecordChanges[MoveOrder], period: ChangePeriod
    ) -> None:
        """Apply changed orders and remove moves whose order was deleted."""
        for name, record in changes.changes:
            if record is None:
                self._registry.remove(name, changes.revision)
            else:
                self._apply(record.value)

    async def run(self) -> None:
        """Record the states of moves until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for move in self._registry.all():
                state = self._state_to_record(move)
                if state is not None:
                    await self._record(move, state)

    def _state_to_record(self, move: VersionMove) -> MoveState | None:
        """Return the state to write to the store, None if it needs no update."""
        recorded = move.order.state
        if recorded in (MoveState.COMPLETED, MoveState.ROLLED_BACK):
            return None
        if move.state is MoveState.ROLLED_BACK:
            return MoveState.ROLLED_BACK
        if not self._is_leader():
            return None
        if move.state is MoveState.COMPLETED:
            # The store has lost the record, by which the old leaves were stopped.
            return MoveState.COMPLETED
        now_s = self._clock.monotonic_s()
        due = move.due_state(now_s, self._running_since_s(now_s))
        if due is MoveState.ROLLED_BACK:
            logger.warning(
                "version taken back at the end of its move",
                extra={
                    "service": move.order.service,
                    "target_version": move.order.target_version,
                },
            )
            move.take_back()
            return due
        if due is MoveState.COMPLETED and self._has_target_leaf(move, now_s):
            return due
        return MoveState.RUNNING if recorded is None else None

    def _has_target_leaf(self, move: VersionMove, now_s: float) -> bool:
        """Return whether a leaf can serve when the old ones have been stopped."""
        target = move.order.target_version
        leaves = self._state.registry.eligible(move.order.service, now_s)
        return any(entry.version == target for entry in leaves)

    async def _record(self, move: VersionMove, state: MoveState) -> None:
        try:
            order = await self._platform.record_move(move.order, state)
        except StoreUnavailableError as error:
            logger.info(
                "version move state could not be recorded, retrying",
                extra={"service": move.order.service, "error": str(error)},
            )
            return
        self._apply(order)

    def _apply(self, order: MoveOrder) -> None:
        move = self._registry.put(order, self._clock.monotonic_s())
        logger.info(
            "version move updated",
            extra={
                "service": order.service,
                "target_version": order.target_version,
                "recorded": order.state,
                "state": move.state,
                "revision": order.revision,
            },
        )
