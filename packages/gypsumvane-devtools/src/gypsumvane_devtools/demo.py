"""Show a part of the Trust's system with real processes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import app as absl_app

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.polling import wait_until
from gypsumvane_devtools.sample_plans import demo_plan

if TYPE_CHECKING:
    from gypsumvane_devtools.control_client import Reply

QUERY = "speaker mixer"
SERVICE = "stock-03"
BOOKING = {"key": "booking-1", "item": "stock-00012", "count": 2}
KEY = "demo-booking-1"


class DemoError(Exception):
    """Report a step that did not go as shown."""


class Demo:
    """Run the steps one after the other and say what happens."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    async def run(self) -> None:
        """Run all steps; raises DemoError when one does not hold."""
        await self._search()
        await self._look_up()
        await self._book()
        await self._lose_service()
        await self._stop()

    async def _search(self) -> None:
        await self._cluster.warm_up("stock", answers=5)
        reply = await self._cluster.search("stock", QUERY)
        describe_search("search over all services", reply)
        require(reply.values["outcome"] == "complete", "the answer is complete")
        for hit in reply.values["hits"][:3]:
            say(f"  {hit['score']:.3f}  {hit['id']}  {hit['title']}")

    async def _look_up(self) -> None:
        body = {"key": "bookings-00007"}
        reply = await self._cluster.request("lookup", "bookings", body, daemon=1)
        say(f"lookup of bookings-00007 through vm-1: {reply.values['record']}")
        require(reply.values["found"], "the record is found")

    async def _book(self) -> None:
        first = await self._cluster.run("bookings", BOOKING, KEY, daemon=1)
        say(f"booking under key {KEY} through vm-1: {summary(first)}")
        require(first.values["verdict"] == "ran", "the booking ran")
        again = await self._cluster.run("bookings", BOOKING, KEY, daemon=2)
        say(f"the same booking again through vm-2: {summary(again)}")
        runs = (await self._cluster.upstreams.runs_by_key()).get(KEY, 0)
        say(f"the ledger has run this key {runs} time(s)")
        require(runs == 1, "the booking ran once")

    async def _lose_service(self) -> None:
        upstreams = self._cluster.upstreams
        killed = await upstreams.act("kill", service=SERVICE)
        say(f"killed the {killed} leaves of service {SERVICE}")
        reply = await self._cluster.search("stock", QUERY)
        describe_search("search without this service", reply)
        require(reply.values["outcome"] == "partial", "the answer says it is partial")
        await upstreams.act("start", service=SERVICE)
        say(f"started the leaves of {SERVICE} again; they are cold")
        began_s = time.monotonic()
        await wait_until(self._is_complete, "answers are complete", interval_s=0.1)
        say(f"answers are complete again after {time.monotonic() - began_s:.1f} s")

    async def _is_complete(self) -> bool:
        reply = await self._cluster.search("stock", QUERY)
        return reply.values["outcome"] == "complete"

    async def _stop(self) -> None:
        began_s = time.monotonic()
        numbers = range(len(self._cluster.daemons))
        statuses = await asyncio.gather(*map(self._cluster.stop_daemon, numbers))
        took_s = time.monotonic() - began_s
        say(f"all daemons stopped gracefully in {took_s:.1f} s, statuses {statuses}")
        require(set(statuses) == {0}, "every daemon exits with status 0")


def say(text: str) -> None:
    """Print one line at once."""
    print(text, flush=True)


def require(holds: bool, text: str) -> None:
    """Check a step; raises DemoError when it does not hold."""
    if not holds:
        raise DemoError(f"does not hold: {text}")


def summary(reply: Reply) -> str:
    """Return status, outcome and verdict of an answer."""
    values = reply.values
    return f"HTTP {reply.status}, {values.get('outcome')}, {values.get('verdict')}"


def describe_search(title: str, reply: Reply) -> None:
    """Print the outcome and coverage of a search."""
    say(f"{title}: {summary(reply)}")
    coverage = reply.values.get("coverage", {})
    say(f"  snapshot {reply.values.get('snapshot')}, coverage {coverage}")


async def show() -> None:
    """Start the cluster, run the steps and end everything."""
    plan = demo_plan()
    # Short-lived address lists let the daemons stop within the demo.
    plan = plan.model_copy(update={"daemon_settings": {"entry": {"keep_ms": 3000}}})
    leaves = len(plan.leaf_settings())
    say(
        f"starting store, live list, {leaves} leaves in {len(plan.domains)} failure "
        f"domains and {plan.daemons} daemons"
    )
    began_s = time.monotonic()
    async with Cluster(plan) as cluster:
        say(f"all daemons are ready after {time.monotonic() - began_s:.1f} s")
        await Demo(cluster).run()
    say(f"done after {time.monotonic() - began_s:.1f} s; all processes have ended")


def main(argv: list[str]) -> None:
    """Run the demo."""
    asyncio.run(show())


if __name__ == "__main__":
    absl_app.run(main)
