"""Polling for conditions in tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Only ends a test that hangs; no test relies on this duration.
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.005


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raises TimeoutError after WAIT_TIMEOUT_S."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
