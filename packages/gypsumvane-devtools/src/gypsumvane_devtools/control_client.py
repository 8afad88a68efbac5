"""HTTP client for control interfaces and daemons."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import aiohttp


class ControlError(Exception):
    """Report an error status from a control interface."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Carry the status, JSON object and headers of an answer."""

    status: int
    values: dict[str, Any]
    headers: dict[str, str] = field(default_factory=dict)


class ControlClient:
    """Call HTTP interfaces with JSON bodies."""

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=60.0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request; raises aiohttp.ClientError without an answer."""
        data = None if body is None else json.dumps(body).encode()
        url = f"http://{address}{path}"
        async with self._session.request(
            method, url, data=data, headers=headers
        ) as answer:
            text = await answer.read()
            return Reply(answer.status, decode_object(text), dict(answer.headers))

    async def control(
        self, method: str, address: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        """Call a control interface; raises ControlError when it refuses."""
        reply = await self.call(method, address, path, body)
        if reply.status >= 400:
            raise ControlError(f"{method} {path}: {reply.status} {reply.values}")
        return reply.values


def decode_object(text: bytes) -> dict[str, Any]:
    """Return the JSON object of a body, or the text under `text`."""
    try:
        value = json.loads(text or b"{}")
    except ValueError:
        return {"text": text.decode(errors="replace")}
    return value if isinstance(value, dict) else {"value": value}
