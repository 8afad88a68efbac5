"""Tests of the store client."""

from __future__ import annotations

import asyncio
import unittest

from daemon_fixture import TestDaemon
from fake_store import FakeStore
from fake_store import PutFault
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import Written
from waiting import wait_until


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Check results, faults and the watch against a fake store."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fake = FakeStore()
        await self.fake.start()
        self.addAsyncCleanup(self.fake.stop)
        self.daemon = TestDaemon("vm-1", self.fake.address)
        self.store = self.daemon.store
        await self.daemon.metrics.start(self.daemon.kernel)
        await self.store.start(self.daemon.kernel)
        self.addAsyncCleanup(self.store.stop)

    async def put_and_read_back(
        self, value: bytes, expected_version: int | None
    ) -> object:
        """Write with read-back of a lost answer."""
        return await self.store.put_confirmed(
            "config/x",
            value,
            expected_version=expected_version,
            contains_change=lambda found: found == value,
        )

    async def test_conditional_put(self) -> None:
        """Guard against a write that ignores its condition."""
        created = await self.store.put("config/x", b"1", expected_version=None)
        assert isinstance(created, Written)
        again = await self.store.put("config/x", b"2", expected_version=None)
        self.assertEqual(again, Conflict())
        await self.store.put("config/x", b"3", expected_version=created.version)
        found = await self.store.get("config/x")
        assert found is not None
        self.assertEqual(found.value, b"3")
        self.assertIsNone(await self.store.get("config/y"))

    async def test_lost_answer_is_not_reported_as_a_conflict(self) -> None:
        """Guard against a PUT that the HTTP library retries."""
        await self.store.put("config/x", b"1", expected_version=None)
        self.fake.put_faults = [PutFault.LOST_AFTER_WRITE]
        with self.assertRaises(StoreError) as raised:
            await self.store.put("config/x", b"2", expected_version=1)
        self.assertTrue(raised.exception.may_have_applied)
        self.assertEqual(self.fake.calls["put"], 2)

    async def test_refused_write_was_not_made(self) -> None:
        """Guard against a refused write that is reported as possibly applied."""
        self.fake.outage = True
        with self.assertRaises(StoreError) as raised:
            await self.store.put("config/x", b"1", expected_version=None)
        self.assertFalse(raised.exception.may_have_applied)

    async def test_unreachable_store_made_no_write(self) -> None:
        """Guard against a refused connection reported as a possibly applied write."""
        await self.fake.stop()
        with self.assertRaises(StoreError) as raised:
            await self.store.put("config/x", b"1", expected_version=None)
        self.assertFalse(raised.exception.may_have_applied)

    async def test_rate_refusals_are_retried(self) -> None:
        """Guard against a failure on a temporary rate limit."""
        self.fake.rate_refusals = 2
        written = await self.store.put("config/x", b"1", expected_version=None)
        self.assertIsInstance(written, Written)
        counts = {(c.kind, c.result): c.calls for c in self.store.calls()}
        self.assertEqual(counts, {("put", "429"): 2, ("put", "200"): 1})

    async def test_put_confirmed_resolves_each_kind_of_lost_answer(self) -> None:
        """Guard against a wrong result after a lost answer."""
        for fault in PutFault:
            with self.subTest(fault=fault):
                self.fake.objects.clear()
                self.fake.put_faults = [fault]
                self.assertIsInstance(
                    await self.put_and_read_back(b"own", None), Written
                )
                self.assertEqual(self.fake.value("config/x"), b"own")

    async def test_put_confirmed_reports_unknown_outcome_without_read_back(
        self,
    ) -> None:
        """Guard against a definite result while the outcome is unknown."""
        self.fake.put_faults = [PutFault.LOST_AFTER_WRITE]
        self.fake.outage_after_writes = 1
        with self.assertRaises(StoreError) as raised:
            await self.put_and_read_back(b"own", None)
        self.assertTrue(raised.exception.may_have_applied)

    async def test_watch_delivers_changes_once_and_confirms(self) -> None:
        """Guard against lost, repeated or unconfirmed changes."""
        delivered: list[str] = []
        confirmed: list[float] = []
        self.fake.write("config/documents/a", b"1")
        self.store.subscribe(
            "config/documents/", lambda k, v, _: delivered.append(f"{k}={v!r}")
        )
        self.store.on_confirmed(confirmed.append)
        self.store.set_watching(True)
        await wait_until(lambda: len(delivered) == 1)
        self.fake.write("config/view", b"other")
        self.fake.write("config/documents/a", b"2")
        await wait_until(lambda: len(delivered) == 2)
        self.assertEqual(delivered[1], "config/documents/a=b'2'")
        count = len(confirmed)
        await wait_until(lambda: len(confirmed) > count + 1)
        self.assertEqual(confirmed, sorted(confirmed))

    async def test_watch_lists_again_when_it_cannot_continue(self) -> None:
        """Guard against changes lost before the store's oldest watch version."""
        delivered: list[bytes | None] = []
        self.fake.write("config/a", b"1")
        self.fake.write("config/b", b"1")
        self.store.subscribe("config/a", lambda _, value, __: delivered.append(value))
        self.store.subscribe("config/b", lambda _, value, __: delivered.append(value))
        self.store.set_watching(True)
        await wait_until(lambda: delivered == [b"1", b"1"])
        self.fake.outage = True
        calls = self.fake.calls["watch"]
        await wait_until(lambda: self.fake.calls["watch"] > calls + 1)
        self.fake.write("config/a", b"2")
        del self.fake.objects["config/b"]
        self.fake.oldest_watch_version = self.fake.version
        self.fake.outage = False
        await wait_until(lambda: len(delivered) == 4)
        self.assertEqual(set(delivered[2:]), {None, b"2"})

    async def test_no_calls_without_watching(self) -> None:
        """Guard against periodic calls of daemons that are not store watchers."""
        self.store.subscribe("config/", lambda *_: None)
        self.store.set_watching(True)
        await wait_until(lambda: self.fake.calls["watch"] > 0)
        self.store.set_watching(False)
        await asyncio.sleep(0)
        calls = self.fake.calls.total()
        await asyncio.sleep(0.2)
        self.assertEqual(self.fake.calls.total(), calls)
