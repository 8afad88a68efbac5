"""Status polling of one upstream."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_limiter import StatusReport
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.upstream_client import LeafCallError

if TYPE_CHECKING:
    from gypsumvane_daemon.leaf_state import LeafContext
    from gypsumvane_daemon.leaf_state import LeafState
    from gypsumvane_daemon.upstream_client import LeafAnswer
    from gypsumvane_daemon.upstream_ports import HomeAuthority

logger = logging.getLogger(__name__)

STATUS_INTERVAL_S = 1.0
OUTAGE_STATUS_INTERVAL_S = 0.2
# Connections in addition to those of calls: one for status, one to cancel.
CONTROL_CONNECTIONS = 2
STATUS_FAILURES_MAX = 3


class LeafStatusPoller:
    """Poll status reports and open connections ahead of demand."""

    def __init__(
        self, state: LeafState, context: LeafContext, *, authority: HomeAuthority
    ) -> None:
        self._state = state
        self._context = context
        self._authority = authority
        self._poller: asyncio.Task[None] | None = None
        self._failures = 0
        # Set to poll at once.
        self._poll_now = asyncio.Event()

    def start(self) -> None:
        """Start polling."""
        self._poller = asyncio.create_task(
            self._poll(), name=f"status-{self._state.leaf.leaf_id}"
        )

    def stop(self) -> None:
        """Stop polling."""
        if self._poller is not None:
            self._poller.cancel()
            self._poller = None

    def poll_now(self) -> None:
        """Request a status report without waiting for the interval."""
        self._poll_now.set()

    async def _poll(self) -> None:
        while True:
            self._poll_now.clear()
            self._apply_connection_limit()
            if self._connections_allowed() >= 1:
                await self._poll_once()
            self._context.publish()
            self._context.dispatch()
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        unavailable = self._state.limiter.state is UpstreamState.UNAVAILABLE
        interval_s = OUTAGE_STATUS_INTERVAL_S if unavailable else STATUS_INTERVAL_S
        await wait_for_event(self._poll_now, timeout_s=interval_s)

    async def _poll_once(self) -> None:
        try:
            answer = await self._state.client.status()
        except LeafCallError as error:
            if error.mismatched:
                reason = Reason.ANSWER_MISMATCH.value
                self._context.count("leaf_answers_dropped", reason=reason)
                return
            self._failures += 1
            # A saturated upstream may answer late, so a time-out counts only after
            # several failures in a row; any other error is an outage.
            if not error.timed_out or self._failures >= STATUS_FAILURES_MAX:
                self.on_unreachable(error.message)
            return
        self._failures = 0
        self._state.connected = True
        self._state.hold_until_s = float("-inf")
        self._apply_report(answer)
        if self._state.limiter.limit:
            await self._state.client.open_connections_ahead(self._connections_wanted())

    def _apply_report(self, answer: LeafAnswer) -> None:
        try:
            body = decode_json(answer.body)
            snapshots = sorted(int(number) for number in body.get("snapshots", []))
        except (ValueError, TypeError, AttributeError):
            self._context.count("leaf_status_invalid")
            return
        self._state.snapshots = snapshots
        self._state.version = answer.version or str(body.get("version", ""))
        self._state.limiter.on_report(
            StatusReport(
                answering_boot_id=answer.boot_id,
                draining=answer.draining or body.get("draining") is True,
                cold=body.get("cold") is True,
            ),
            self._context.clock.monotonic_s(),
        )

    def on_unreachable(self, cause: str) -> None:
        """Mark the upstream as unavailable after failed connections or polls."""
        before = self._state.limiter.state
        self._state.limiter.on_unreachable()
        if self._state.limiter.state is not before:
            logger.warning(
                "upstream is unavailable; refusing its requests until it responds",
                extra={"leaf": self._state.leaf.leaf_id, "cause": cause},
            )
            self._context.publish()

    def _connections_wanted(self) -> int:
        return min(self._connections_allowed(), self._state.limiter.limit + 1)

    def _connections_allowed(self) -> int:
        allowed = self._authority.allowance(
            self._state.leaf.leaf_id, self._state.leaf.connections_max
        )
        # Calls never need more. Staying below half of the maximum leaves connections
        # for another home while a paused one still holds its own.
        return min(allowed, self._state.leaf.slots + CONTROL_CONNECTIONS)

    def _apply_connection_limit(self) -> None:
        self._state.client.set_connections(self._connections_allowed())
