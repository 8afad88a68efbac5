"""Tests of the store stand-in against the contract."""

from __future__ import annotations

import asyncio
import base64
import http.client
import unittest

import aiohttp

from gypsumvane_devtools.polling import wait_until
from gypsumvane_devtools.stand_in import start_site
from gypsumvane_devtools.store import Store

KEY = "/v1/objects/config/view"
CREATE = {"If-None-Match": "*"}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Check conditional updates, watches and faults."""

    async def asyncSetUp(self) -> None:
        await self.serve(Store())

    async def serve(self, store: Store) -> None:
        """Serve a store and connect a client to it."""
        self.store = store
        runner, address = await start_site(store.application(), "127.0.0.1:0")
        self.addAsyncCleanup(runner.cleanup)
        self.address = address
        self.client = aiohttp.ClientSession(f"http://{address}")
        self.addAsyncCleanup(self.client.close)

    async def put(self, value: bytes, headers: dict[str, str]) -> int:
        """Write the key and return the status."""
        async with self.client.put(KEY, data=value, headers=headers) as answer:
            return answer.status

    def put_once(self) -> None:
        """Create the key with http.client; aiohttp would retry the PUT."""
        connection = http.client.HTTPConnection(self.address)
        self.addCleanup(connection.close)
        connection.request("PUT", KEY, body=b"one", headers=CREATE)
        connection.getresponse()

    async def test_write_needs_the_current_version(self) -> None:
        """Guard against lost updates between two writers."""
        self.assertEqual(await self.put(b"one", CREATE), 200)
        self.assertEqual(await self.put(b"two", CREATE), 412)
        self.assertEqual(await self.put(b"two", {"If-Match": '"7"'}), 412)
        self.assertEqual(await self.put(b"two", {}), 428)
        self.assertEqual(await self.put(b"two", {"If-Match": '"1"'}), 200)
        async with self.client.get(KEY) as answer:
            self.assertEqual(await answer.read(), b"two")
            self.assertEqual(answer.headers["ETag"], '"2"')

    async def test_watch_returns_changes_and_deletions(self) -> None:
        """Guard against a watch that misses a change after its version."""
        await self.put(b"one", CREATE)
        query = {"prefix": "config/", "after": "1", "wait_ms": "30000"}
        watch = asyncio.create_task(self.client.get("/v1/watch", params=query))
        counters = self.store.counters
        await wait_until(lambda: counters.waiting_watches > 0, "watch waits")
        await self.client.delete(KEY, headers={"If-Match": '"1"'})
        values = await (await watch).json()
        deleted = {"key": "config/view", "version": 2, "value_base64": None}
        self.assertEqual(values, {"version": 2, "objects": [deleted]})
        self.assertEqual(self.store.counters.waiting_watches, 0)

    async def test_list_returns_existing_objects_below_the_prefix(self) -> None:
        """Guard against a list with keys outside the prefix."""
        await self.put(b"one", CREATE)
        await self.client.put("/v1/objects/claims/1", data=b"x", headers=CREATE)
        async with self.client.get("/v1/objects?prefix=config/") as answer:
            objects = (await answer.json())["objects"]
        self.assertEqual([entry["key"] for entry in objects], ["config/view"])
        self.assertEqual(base64.b64decode(objects[0]["value_base64"]), b"one")

    async def test_lost_answer_takes_effect(self) -> None:
        """Guard against a lost answer whose write is lost too."""
        await self.client.post("/control/lose-answers", json={"count": 1})
        with self.assertRaises(ConnectionError):
            await asyncio.to_thread(self.put_once)
        self.assertEqual(await self.put(b"two", CREATE), 412)
        self.assertEqual(self.store.counters.lost_answers, 1)

    async def test_outage_refuses_calls_and_ends_watches(self) -> None:
        """Guard against watches that outlive an outage."""
        query = {"prefix": "config/", "after": "0", "wait_ms": "30000"}
        watch = asyncio.create_task(self.client.get("/v1/watch", params=query))
        counters = self.store.counters
        await wait_until(lambda: counters.waiting_watches > 0, "watch waits")
        await self.client.post("/control/outage", json={"on": True})
        self.assertEqual((await watch).status, 503)
        self.assertEqual(await self.put(b"one", CREATE), 503)
        await self.client.post("/control/outage", json={"on": False})
        self.assertEqual(await self.put(b"one", CREATE), 200)

    async def test_write_rate_is_limited(self) -> None:
        """Guard against a store that accepts writes above its rate."""
        await self.serve(Store(writes_per_s=0.001))
        self.assertEqual(await self.put(b"one", CREATE), 200)
        self.assertEqual(await self.put(b"two", {"If-Match": '"1"'}), 429)
        async with self.client.get("/control/counters") as answer:
            counters = await answer.json()
        self.assertEqual(counters["calls"], {"put": 2})
        self.assertEqual(counters["refused_rate"], 1)
