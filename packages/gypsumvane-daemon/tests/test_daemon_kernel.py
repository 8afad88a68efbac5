"""Tests of the microkernel."""

from __future__ import annotations

import unittest

from gypsumvane_daemon.kernel import Kernel
from gypsumvane_daemon.kernel import Service


class RecordingService(Service):
    """Record starts and stops."""

    name = "recording"

    def __init__(self, log: list[str]) -> None:
        self.log = log

    async def start(self, kernel: Kernel) -> None:
        """Record the start."""
        self.log.append(f"start {self.name}")

    async def stop(self) -> None:
        """Record the stop."""
        self.log.append(f"stop {self.name}")


class FailingService(RecordingService):
    """Fail to start."""

    name = "failing"

    async def start(self, kernel: Kernel) -> None:
        """Raise an error."""
        raise OSError("address in use")


class KernelTest(unittest.IsolatedAsyncioTestCase):
    """Check start, lookup and stop of services."""

    async def test_failed_start_stops_the_started_services(self) -> None:
        """Guard against listeners left open after a failed start."""
        log: list[str] = []
        kernel = Kernel()
        kernel.register(RecordingService(log))
        kernel.register(FailingService(log))
        with self.assertRaises(OSError):
            await kernel.start()
        self.assertEqual(log, ["start recording", "stop recording"])

    def test_lookup_by_name(self) -> None:
        """Guard against a lookup that returns another service."""
        kernel = Kernel()
        service = RecordingService([])
        kernel.register(service)
        self.assertIs(kernel.get(RecordingService), service)
        with self.assertRaises(LookupError):
            kernel.get(FailingService)
        with self.assertRaises(ValueError):
            kernel.register(RecordingService([]))
