"""Bookings run at most once when connections are cut at any step."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from gypsumvane_devtools.cluster_plan import ProxyPlan
from tests.test_system_bookings import DEADLINE
from tests.test_system_bookings import INDEX
from tests.test_system_bookings import BookingCase
from tests.test_system_bookings import bookings_plan

if TYPE_CHECKING:
    from gypsumvane_devtools.control_client import Reply

# Verdict recorded for a caller whose connection was lost.
NO_ANSWER = "none"
REFUSE = "refuse"
# The connection is refused before the request is written; the request is lost; the
# connection is lost while the request runs; the answer is lost.
STEPS = (REFUSE, "cut_before", "cut_after", "lose_answer")
# Peers reconnect after this many refusals, before they are suspected.
PEER_REFUSALS = 2


class BookingCutTest(BookingCase):
    """Cut each kind of link, and send one key through two daemons at once."""

    plan = bookings_plan(proxies=True).model_copy(
        update={"proxies": ProxyPlan(leaves=True, peers=True)}
    )
    caller_addresses: dict[int, str]

    @classmethod
    def setUpClass(cls) -> None:
        """Add proxy links in front of the caller listeners."""
        super().setUpClass()
        cls.caller_addresses = cls.runner.run(cls._add_caller_links())

    @classmethod
    async def _add_caller_links(cls) -> dict[int, str]:
        addresses = {}
        for number, daemon in enumerate(cls.cluster.daemons):
            reply = await cls.cluster.proxy.post(
                "/control/links",
                name=f"callers-{daemon.vm_id}",
                target=daemon.addresses.callers,
            )
            addresses[number] = str(reply["address"])
        return addresses

    async def links(self, prefix: str) -> list[str]:
        """Return the names of the links of one kind."""
        names = await self.cluster.proxy.get("/control/links")
        return [name for name in names if name.startswith(prefix)]

    async def cut(self, prefix: str, step: str, key: str) -> None:
        """Make the links of one kind fail at one step of a booking."""
        for link in await self.links(prefix):
            if step != REFUSE:
                await self.add_rule(link, step, match=key, delay_ms=20, count=1)
                continue
            count = PEER_REFUSALS if prefix == "peer-" else -1
            await self.add_rule(link, REFUSE, count=count)
            await self.cluster.proxy.post(f"/control/links/{link}/cut")

    async def hits(self, prefix: str) -> int:
        """Return the number of rules on one kind of link that have been used up."""
        found = await self.cluster.proxy.get("/control/links")
        return sum(
            rule["count"] == 0
            for name, link in found.items()
            if name.startswith(prefix)
            for rule in link["rules"].values()
        )

    async def send(self, key: str, *, daemon: int) -> str:
        """Book through the proxy link of a daemon and return the verdict."""
        headers = {"Idempotency-Key": key, **DEADLINE}
        path = f"/v1/indexes/{INDEX}/run"
        address = self.caller_addresses[daemon]
        body = {"key": f"record-{key}", "items": 1}
        try:
            reply: Reply = await self.cluster.client.call(
                "POST", address, path, body, headers=headers
            )
        except aiohttp.ClientError:
            return NO_ANSWER
        return str(reply.values["verdict"])

    async def check_cuts(self, prefix: str) -> None:
        """Cut at each step, book through each daemon and compare with the runs."""
        for step in STEPS:
            verdicts: dict[str, list[str]] = {}
            hits = 0
            for daemon in range(4):
                key = self.fresh_key(daemon)
                await self.cut(prefix, step, key)
                first = await self.send(key, daemon=daemon)
                runs = await self.runs_of(key)
                if first == "not_run":
                    self.assertEqual(runs, 0, (step, key))
                hits += await self.hits(prefix)
                await self.clear_proxy_rules()
                verdicts[key] = [first]
                for other in (daemon, (daemon + 1) % 4):
                    verdicts[key].append(await self.send(key, daemon=other))
            with self.subTest(link=prefix, step=step):
                if step != REFUSE:
                    # Without a hit, no booking was affected by the fault.
                    self.assertGreater(hits, 0)
                await self.check_verdicts(verdicts)

    async def test_caller_link(self) -> None:
        """Guard against a second run for a caller that lost its answer (R7, R8)."""
        await self.check_cuts("callers-")

    async def test_peer_links(self) -> None:
        """Guard against a second run when daemons lose each other (R7, R8)."""
        await self.check_cuts("peer-")

    async def test_leaf_links(self) -> None:
        """Guard against a second run when a home loses its leaf (R7, R8)."""
        await self.check_cuts("leaf-")

    async def race(self, key: str, first: int) -> list[str]:
        """Send one key through two daemons at once."""
        second = (first + 1) % 4
        return list(
            await asyncio.gather(
                self.send(key, daemon=first), self.send(key, daemon=second)
            )
        )

    async def test_two_daemons_at_once(self) -> None:
        """Guard against two runs of a key sent through two daemons (R8)."""
        for first in range(4):
            key = self.fresh_key(first)
            verdicts = await self.race(key, first)
            self.assertIn("ran", verdicts)
            self.assertNotIn("not_run", verdicts)
            self.assertEqual(await self.runs_of(key), 1)

    async def test_two_daemons_at_once_in_a_store_outage(self) -> None:
        """Guard against a run or a wrong verdict in an outage (R7, R8)."""
        verdicts: dict[str, list[str]] = {}
        await self.cluster.store.post("/control/outage", on=True)
        for first in range(2):
            key = self.fresh_key(first)
            verdicts[key] = await self.race(key, first)
            self.assertNotIn("ran", verdicts[key])
            self.assertEqual(await self.runs_of(key), 0)
        await self.cluster.store.post("/control/outage", on=False)
        for key, found in verdicts.items():
            found.append((await self.book_until_accepted(key)).values["verdict"])
        await self.check_verdicts(verdicts)

    async def test_two_daemons_at_once_at_the_end_of_an_outage(self) -> None:
        """Guard against two runs by attempts that wait for the store (R8)."""
        for first in range(4):
            key = self.fresh_key(first)
            await self.cluster.store.post("/control/outage", on=True)
            race = asyncio.create_task(self.race(key, first))
            await asyncio.sleep(0.5)
            await self.cluster.store.post("/control/outage", on=False)
            await self.check_verdicts({key: await race})
            repeat = await self.book_until_accepted(key, daemon=(first + 2) % 4)
            self.assertEqual(repeat.values["verdict"], "ran")
            self.assertEqual(await self.runs_of(key), 1)

    async def test_two_daemons_at_once_while_peers_are_cut(self) -> None:
        """Guard against two runs when one of two attempts loses its home (R7, R8)."""
        for step in STEPS[1:]:
            verdicts: dict[str, list[str]] = {}
            for first in range(4):
                key = self.fresh_key(first)
                await self.cut("peer-", step, key)
                verdicts[key] = await self.race(key, first)
                await self.clear_proxy_rules()
                verdicts[key].append(await self.send(key, daemon=(first + 2) % 4))
            with self.subTest(step=step):
                await self.check_verdicts(verdicts)
