"""Planned stop of a daemon."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_daemon.routing.entry_handler import EntryHandler
    from gypsumvane_daemon.routing.peer_exchange import PeerExchange
    from gypsumvane_daemon.routing.routing_state import RoutingState

logger = logging.getLogger(__name__)

# Share of the grace in which new requests are still executed, because callers cache
# the address of this daemon for some seconds.
SERVE_SHARE = 0.6
# Share of the grace after which the daemon ends with requests in progress; the rest is
# for closing the listeners.
END_SHARE = 0.9
POLL_INTERVAL_S = 0.02


class StopSequence:
    """Withdraw the daemon from callers, finish requests and end."""

    def __init__(
        self,
        state: RoutingState,
        handler: EntryHandler,
        peers: PeerExchange,
        *,
        grace_s: float,
    ) -> None:
        self._state = state
        self._handler = handler
        self._peers = peers
        self._grace_s = grace_s

    async def run(self) -> None:
        """Stop, and return when no request is in progress or END_SHARE has passed."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self._state.stopping = True
        self._peers.ping_now()
        logger.info("stopping", extra={"in_progress": self._handler.in_progress})
        await asyncio.sleep(SERVE_SHARE * self._grace_s)
        self._handler.refusing = True
        while self._handler.in_progress:
            if loop.time() - begun_s > END_SHARE * self._grace_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        logger.info("stopped", extra={"in_progress": self._handler.in_progress})
