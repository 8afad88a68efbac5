"""Polling of the platform's live list of VMs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from pydantic import BaseModel
from pydantic import ValidationError

from gypsumvane_daemon.bounded_response import BoundedConnector
from gypsumvane_daemon.error_text import release_frames

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.metrics import MetricsService
    from gypsumvane_daemon.settings import PlatformSettings

logger = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.0
# Largest list; an entry takes about 100 bytes.
LISTING_BYTES_MAX = 4 * 2**20


class ListedVm(BaseModel):
    """One VM of the live list."""

    vm_id: str
    failure_domain: str = ""
    state: str = "live"


class Listing(BaseModel):
    """One response of the live list, with its listing number."""

    listing: int
    vms: list[ListedVm]


class LiveListPoller:
    """Poll the live list and pass each listing to a callback.

    The callback also gets the monotonic time in seconds at which the request
    was sent.
    """

    def __init__(
        self,
        platform: PlatformSettings,
        *,
        clock: Clock,
        metrics: MetricsService,
        on_listing: Callable[[Listing, float], None],
    ) -> None:
        self._url = f"http://{platform.live_list_address}/v1/vms"
        self._interval_s = platform.live_list_interval_ms / 1000
        self._clock = clock
        self._metrics = metrics
        self._on_listing = on_listing
        self._available = True

    async def run(self) -> None:
        """Poll until cancelled."""
        connector = BoundedConnector(bytes_max=LISTING_BYTES_MAX)
        async with ClientSession(
            connector=connector, timeout=ClientTimeout()
        ) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(self._interval_s)

    async def _poll(self, session: ClientSession) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            # The time-out of aiohttp may take back a cancellation of this task.
            async with (
                asyncio.timeout(REQUEST_TIMEOUT_S),
                session.get(self._url) as response,
            ):
                response.raise_for_status()
                listing = Listing.model_validate_json(await response.read())
        except (ClientError, TimeoutError, OSError, ValidationError) as error:
            release_frames(error)
            self._metrics.count("live_list_errors", reason=type(error).__name__)
            self._set_available(available=False)
            return
        self._set_available(available=True)
        self._on_listing(listing, sent_at_s)

    def _set_available(self, *, available: bool) -> None:
        if available != self._available:
            self._available = available
            logger.info(
                "live list availability changed", extra={"available": available}
            )
