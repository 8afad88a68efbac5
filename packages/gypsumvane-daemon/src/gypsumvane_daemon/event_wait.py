"""Waiting for an event with a bound."""

from __future__ import annotations

import asyncio
import contextlib


async def wait_for_event(event: asyncio.Event, *, timeout_s: float) -> None:
    """Return when the event is set, or after the timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
