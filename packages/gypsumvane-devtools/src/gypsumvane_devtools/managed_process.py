"""Child processes of tests, the demo and measurements."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import sys
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
TAIL_BYTES = 3000
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """Report a process that failed to start, exited early or did not stop."""


def end_with_parent() -> None:
    """Let the kernel kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """Run one Python module; its standard error goes to a file."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        return self._started_process().pid

    @property
    def return_code(self) -> int | None:
        """Return the exit status; None while the process runs."""
        return self._started_process().returncode

    async def start(self, module: str, *arguments: str) -> None:
        """Start the module."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    async def read_announcement(self) -> dict[str, Any]:
        """Return the JSON line that a stand-in prints when it is ready.

        Raises ProcessError when there is none.
        """
        stdout = self._started_process().stdout
        assert stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            raise ProcessError(f"{self.name} did not start:\n{self.log_tail()}")
        values: dict[str, Any] = json.loads(line)
        return values

    async def read_output(self) -> bytes:
        """Return the standard output up to its end."""
        stdout = self._started_process().stdout
        assert stdout is not None
        return await stdout.read()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            # send_signal of asyncio may collect the exit status before the child
            # watcher does, which then reports a wrong one.
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self._started_process().wait()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit status.

        Raises ProcessError when it does not stop in time; it is killed then.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._started_process().wait()
        except TimeoutError:
            await self.kill()
            raise ProcessError(
                f"{self.name} did not stop within {timeout_s:g} s:\n{self.log_tail()}"
            ) from None

    async def end(self) -> None:
        """Kill the process if it is running, even when paused."""
        if self.running:
            self.resume()
            await self.kill()

    def log_tail(self) -> str:
        """Return the end of the standard error."""
        return self.log_path.read_bytes()[-TAIL_BYTES:].decode(errors="replace")

    def _started_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self.name} was not started")
        return self._process
