"""Calls that are cancelled when their time-out elapses end as cancelled."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from typing import Any

from daemon_settings import daemon_settings
from gypsumvane_core.clock import SystemClock
from gypsumvane_daemon.live_list_poller import REQUEST_TIMEOUT_S
from gypsumvane_daemon.live_list_poller import LiveListPoller
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.routing.peer_client import PeerClient
from gypsumvane_daemon.store_http import StoreHttp
from gypsumvane_devtools.silent_server import SilentServer

if TYPE_CHECKING:
    from collections.abc import Coroutine

TIMEOUT_S = 0.2


class CancelledCallTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a task that goes on after its cancellation.

    A daemon that was paused and told to stop did not end: the cancelled watch of the
    store ended as timed out, and was repeated.
    """

    async def asyncSetUp(self) -> None:
        self.server = SilentServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def check_cancelled(self, call: Coroutine[Any, Any, Any]) -> None:
        """Check that the call ends as cancelled."""
        self.assertTrue(await self.server.cancel_at_timeout(call, TIMEOUT_S))

    async def test_call_to_a_peer(self) -> None:
        client = PeerClient()
        self.addAsyncCleanup(client.close)
        await self.check_cancelled(
            client.call("GET", self.server.address, "/", timeout_s=TIMEOUT_S)
        )

    async def test_call_to_the_store(self) -> None:
        settings = daemon_settings().platform.model_copy(
            update={
                "store_address": self.server.address,
                "store_timeout_ms": int(TIMEOUT_S * 1000),
            }
        )
        store = StoreHttp(
            settings,
            clock=SystemClock(),
            rng=random.Random(1),
            count=lambda kind, result: None,
        )
        await store.open()
        self.addAsyncCleanup(store.close)
        await self.check_cancelled(store.get("key"))

    async def test_poll_of_the_live_list(self) -> None:
        settings = daemon_settings().platform.model_copy(
            update={"live_list_address": self.server.address}
        )
        poller = LiveListPoller(
            settings,
            clock=SystemClock(),
            metrics=MetricsService(),
            on_listing=lambda listing, sent_at_s: None,
        )
        self.assertTrue(
            await self.server.cancel_at_timeout(poller.run(), REQUEST_TIMEOUT_S)
        )


if __name__ == "__main__":
    unittest.main()
