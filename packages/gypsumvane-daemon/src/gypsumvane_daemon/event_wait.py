"""Waiting for an event with a timeout."""

from __future__ import annotations

import asyncio
import contextlib


async def wait_for_event(event: asyncio.Event, *, timeout_s: float) -> None:
    """Wait until the event is set or the timeout has elapsed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
