"""Waiting for conditions in tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Ends a test that hangs; no test measures time with it.
LIMIT_S = 60.0
STEP_S = 0.005


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raises TimeoutError after LIMIT_S."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(STEP_S)
