"""Processes of the stand-ins and the proxy of a cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.managed_process import ManagedProcess

if TYPE_CHECKING:
    from pathlib import Path

    from gypsumvane_devtools.control_client import ControlClient

PACKAGE = "gypsumvane_devtools"


class StandInProcess:
    """Start one stand-in and call its control interface."""

    def __init__(self, name: str, directory: Path, client: ControlClient) -> None:
        self.process = ManagedProcess(name, directory)
        self.address = ""
        self.announcement: dict[str, Any] = {}
        self._client = client

    async def start(self, module: str, *arguments: str) -> None:
        """Start the stand-in and read its address."""
        await self.process.start(f"{PACKAGE}.{module}", *arguments)
        self.announcement = await self.process.read_announcement()
        self.address = self.announcement["address"]

    async def get(self, path: str) -> dict[str, Any]:
        """Send a GET request to the control interface."""
        return await self._client.control("GET", self.address, path)

    async def post(self, path: str, **values: Any) -> dict[str, Any]:
        """Send a POST request to the control interface."""
        return await self._client.control("POST", self.address, path, values)

    async def delete(self, path: str) -> None:
        """Send a DELETE request to the control interface."""
        await self._client.control("DELETE", self.address, path)
