"""Tests of the reload of settings and of addresses in them."""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from gypsumvane_core.routing.retry_budget import RetryAllowance
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.routing.settings import RoutingSettings
from gypsumvane_daemon.routing.settings_reload import SettingsError
from gypsumvane_daemon.routing.settings_reload import SettingsReload
from waiting import wait_until

SETTINGS = RoutingSettings(
    daemon_name="d",
    ip="127.0.0.1",
    failure_domain="a",
    region_of_domain={},
    entry_address="127.0.0.1:1",
    readiness_address="127.0.0.1:2",
    directory_address="127.0.0.1:3",
    peer_address="127.0.0.1:4",
    metrics_address="127.0.0.1:5",
    seed_addresses=(),
    store_address="127.0.0.1:6",
    retry_allowance=RetryAllowance(ratio=0.2, slack=50, window_s=10),
    config_apply_s=3.0,
    drain_s=3.0,
    evacuate_s=5.0,
    canary_bound=CanaryBound(0.1),
    stop_grace_s=6.0,
)


class SettingsReloadTest(unittest.IsolatedAsyncioTestCase):
    """Check reloads by signal and by change, and invalid files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings"
        self.path.write_text("6")
        self.applied: list[float] = []
        self.reads = 0

    def load(self, path: Path) -> RoutingSettings:
        """Return settings whose stop grace is the content of the file."""
        self.reads += 1
        try:
            return replace(SETTINGS, stop_grace_s=float(path.read_text()))
        except ValueError as error:
            raise SettingsError(str(error)) from error

    def apply(self, settings: RoutingSettings) -> None:
        """Record the stop grace."""
        self.applied.append(settings.stop_grace_s)

    def make(self) -> SettingsReload:
        """Return a reload of the file that is not running."""
        return SettingsReload(self.path, self.load, SETTINGS, self.apply)

    async def test_signal(self) -> None:
        """Guard against a reload request that is not carried out."""
        reload = self.make()
        running = asyncio.create_task(reload.run())
        self.path.write_text("7")
        reload.request()
        await wait_until(lambda: self.applied == [7.0])
        running.cancel()

    async def test_change_without_signal(self) -> None:
        reload = self.make()
        running = asyncio.create_task(reload.run())
        self.path.write_text("8")
        os.utime(self.path, ns=(1, 1))
        await wait_until(lambda: self.applied == [8.0])
        running.cancel()

    async def test_invalid_file_changes_nothing(self) -> None:
        reload = self.make()
        self.path.write_text("none")
        with self.assertLogs(level="ERROR"):
            reload.reload()
        self.assertEqual(self.applied, [])


class AddressTest(unittest.TestCase):
    """Check the parsing of addresses."""

    def test_address(self) -> None:
        self.assertEqual(split_address("10.0.0.1:80"), ("10.0.0.1", 80))
        for text in ("", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:x"):
            with self.subTest(text), self.assertRaises(ValueError):
                split_address(text)
