"""Wait for conditions of other processes by polling."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Condition = Callable[[], bool | Awaitable[bool]]

WAIT_TIMEOUT_S = 30.0


async def wait_until(
    condition: Condition,
    description: str,
    *,
    timeout_s: float = WAIT_TIMEOUT_S,
    interval_s: float = 0,
) -> None:
    """Return when the condition holds.

    Raises TimeoutError with the description after the time-out in seconds.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not await evaluate(condition):
        if loop.time() > end_s:
            raise TimeoutError(
                f"condition not met within {timeout_s:g} s: {description}"
            )
        await asyncio.sleep(interval_s)


async def evaluate(condition: Condition) -> bool:
    """Evaluate a condition that may be asynchronous."""
    value = condition()
    return bool(await value) if inspect.isawaitable(value) else bool(value)
