"""Base of servers that answer in ways that no correct server does."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC
from abc import abstractmethod


class ScriptedServer(ABC):
    """Serve each connection by a script until the client or stop() ends it."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def connected(self) -> bool:
        """Return whether a client is still connected."""
        return bool(self._tasks)

    @abstractmethod
    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; the errors of a lost one end it."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve_connection(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.transport.abort()
