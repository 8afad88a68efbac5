"""Client-side cache of the entry addresses that daemons return."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable

# Delay before the next attempt when no daemon returned a list.
RETRY_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 1.0


class EntryAddressCache:
    """Fetch entry addresses and cache them for the time that the answer states."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        initial_addresses: list[str],
        failure_domain: str,
        clock: Callable[[], float],
    ) -> None:
        self._session = session
        self._initial_addresses = initial_addresses
        self._failure_domain = failure_domain
        self._clock = clock
        self._addresses = list(initial_addresses)
        self._expires_s = 0.0
        self._refreshing = False

    async def addresses(self) -> list[str]:
        """Return the addresses in the order in which to try them."""
        # Concurrent requests use the old list while the new one is fetched.
        if not self._refreshing and self._clock() >= self._expires_s:
            self._refreshing = True
            try:
                await self._refresh()
            finally:
                self._refreshing = False
        return self._addresses

    async def _refresh(self) -> None:
        for address in dict.fromkeys([*self._addresses, *self._initial_addresses]):
            values = await self._fetch(address)
            if values is not None and values.get("addresses"):
                self._addresses = list(values["addresses"])
                self._expires_s = self._clock() + float(values["keep_s"])
                return
        self._expires_s = self._clock() + RETRY_INTERVAL_S

    async def _fetch(self, address: str) -> dict[str, Any] | None:
        url = f"http://{address}/v1/entry-addresses"
        query = {"failure_domain": self._failure_domain}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.get(url, params=query, timeout=timeout) as answer:
                if answer.status != 200:
                    return None
                return dict(json.loads(await answer.read()))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
