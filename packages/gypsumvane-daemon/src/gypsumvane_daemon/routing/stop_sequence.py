"""Planned stop of a daemon."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.routing.stop_schedule import StopSchedule

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.routing.entry_handler import EntryHandler
    from gypsumvane_daemon.routing.peer_exchange import PeerExchange
    from gypsumvane_daemon.routing.routing_state import RoutingState

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02


class StopSequence:
    """Withdraw the daemon from callers, finish requests and end."""

    def __init__(
        self,
        state: RoutingState,
        handler: EntryHandler,
        peers: PeerExchange,
        *,
        answers_waiting: Callable[[], int],
        grace_s: float,
        clock: Clock,
    ) -> None:
        self._state = state
        self._handler = handler
        self._peers = peers
        # Returns how many callers have not read their answer yet.
        self._answers_waiting = answers_waiting
        self._grace_s = grace_s
        self._clock = clock

    async def run(self) -> None:
        """Stop, and return when all answers were read, or at the latest time."""
        schedule = StopSchedule(self._clock.monotonic_s(), self._grace_s)
        self._state.stop_schedule = schedule
        self._peers.ping_now()
        logger.info("stopping", extra={"in_progress": self._handler.in_progress})
        await asyncio.sleep(schedule.serves_until_s - schedule.begun_s)
        while self._handler.in_progress or self._answers_waiting():
            now_s = self._clock.monotonic_s()
            if now_s > schedule.ends_s:
                self._handler.end_requests()
            if now_s > schedule.returns_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        logger.info(
            "stopped",
            extra={
                "in_progress": self._handler.in_progress,
                "answers_waiting": self._answers_waiting(),
            },
        )
