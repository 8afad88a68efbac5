"""Service that bounds what all clients of a daemon hold together."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.token_bucket import TokenBucket
from gypsumvane_daemon.client_guard import ClientGuard
from gypsumvane_daemon.client_guard import client_limits
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.client_guard import EndedClient
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.settings import ProcessSettings

logger = logging.getLogger(__name__)

# A crowd of clients could otherwise fill the log.
LINES_PER_S = 10.0
LINES_BURST = 20.0


class ClientService(Service):
    """Share one guard among the listeners of a daemon."""

    name = "clients"

    def __init__(self, process: ProcessSettings, clock: Clock) -> None:
        self.guard = ClientGuard(
            client_limits(
                memory_mb=process.memory_mb, descriptors_max=process.descriptors_max
            ),
            self._report,
        )
        self._clock = clock
        self._lines = TokenBucket(LINES_PER_S, LINES_BURST)
        self._metrics: MetricsService
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to notice clients that stand still."""
        self._metrics = kernel.get(MetricsService)
        self._metrics.gauge(
            "client_bytes_held", lambda: self.guard.budget.held_bytes, unit="By"
        )
        self._metrics.gauge("client_connections", lambda: self.guard.budget.connections)
        self._task = asyncio.create_task(self.guard.run(), name="clients")

    async def stop(self) -> None:
        """Stop noticing clients that stand still."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _report(self, client: EndedClient) -> None:
        self._metrics.count(
            "clients_ended",
            listener=client.listener,
            reason=client.reason,
            phase=client.phase,
        )
        if not self._lines.take(self._clock.monotonic_s()):
            self._metrics.count("client_log_lines_dropped")
            return
        logger.warning("connection of a client ended", extra=client.log_fields())
