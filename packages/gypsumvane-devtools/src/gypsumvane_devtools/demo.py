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
BOOKING_KEY = "demo-booking-1"


class DemoError(Exception):
    """Report a demo step with an unexpected result."""


class Demo:
    """Run the steps in order and print their results."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    async def run(self) -> None:
        """Run all steps; raises DemoError when a check fails."""
        await self._search()
        await self._look_up()
        await self._book()
        await self._kill_service()
        await self._stop()

    async def _search(self) -> None:
        await self._cluster.warm_up("stock", answers=5)
        reply = await self._cluster.search("stock", QUERY)
        describe_search("search over all services", reply)
        require(reply.values["outcome"] == "complete", "the answer is complete")
        for hit in reply.values["hits"][:3]:
            print_line(f"  {hit['score']:.3f}  {hit['id']}  {hit['title']}")

    async def _look_up(self) -> None:
        body = {"key": "bookings-00007"}
        reply = await self._cluster.request("lookup", "bookings", body, daemon=1)
        print_line(f"lookup of bookings-00007 through vm-1: {reply.values['record']}")
        require(reply.values["found"], "the record is found")

    async def _book(self) -> None:
        first = await self._cluster.run("bookings", BOOKING, BOOKING_KEY, daemon=1)
        print_line(f"booking under key {BOOKING_KEY} through vm-1: {summary(first)}")
        require(first.values["verdict"] == "ran", "the booking ran")
        again = await self._cluster.run("bookings", BOOKING, BOOKING_KEY, daemon=2)
        print_line(f"the same booking again through vm-2: {summary(again)}")
        runs = (await self._cluster.upstreams.runs_by_key()).get(BOOKING_KEY, 0)
        print_line(f"the ledger has run this key {runs} time(s)")
        require(runs == 1, "the booking ran once")

    async def _kill_service(self) -> None:
        upstreams = self._cluster.upstreams
        killed = await upstreams.perform_action("kill", service=SERVICE)
        print_line(f"killed the {killed} leaves of service {SERVICE}")
        reply = await self._cluster.search("stock", QUERY)
        describe_search("search without this service", reply)
        require(reply.values["outcome"] == "partial", "the answer says it is partial")
        await upstreams.perform_action("start", service=SERVICE)
        print_line(f"started the leaves of {SERVICE} again; they are cold")
        start_s = time.monotonic()
        await wait_until(self._is_complete, "answers are complete", interval_s=0.1)
        print_line(
            f"answers are complete again after {time.monotonic() - start_s:.1f} s"
        )

    async def _is_complete(self) -> bool:
        reply = await self._cluster.search("stock", QUERY)
        return reply.values["outcome"] == "complete"

    async def _stop(self) -> None:
        start_s = time.monotonic()
        numbers = range(len(self._cluster.daemons))
        statuses = await asyncio.gather(*map(self._cluster.stop_daemon, numbers))
        elapsed_s = time.monotonic() - start_s
        print_line(
            f"all daemons stopped gracefully in {elapsed_s:.1f} s, statuses {statuses}"
        )
        require(set(statuses) == {0}, "every daemon exits with status 0")


def print_line(text: str) -> None:
    """Print one line and flush it."""
    print(text, flush=True)


def require(holds: bool, text: str) -> None:
    """Raise DemoError when a condition does not hold."""
    if not holds:
        raise DemoError(f"demo check failed, expected: {text}")


def summary(reply: Reply) -> str:
    """Return status, outcome and verdict of an answer."""
    values = reply.values
    return f"HTTP {reply.status}, {values.get('outcome')}, {values.get('verdict')}"


def describe_search(title: str, reply: Reply) -> None:
    """Print the outcome and coverage of a search."""
    print_line(f"{title}: {summary(reply)}")
    coverage = reply.values.get("coverage", {})
    print_line(f"  snapshot {reply.values.get('snapshot')}, coverage {coverage}")


async def run_demo() -> None:
    """Start the cluster, run the steps and end all processes."""
    plan = demo_plan()
    # A stopping daemon waits until callers' address lists have expired; a short
    # lifetime lets it stop within the demo.
    plan = plan.model_copy(update={"daemon_settings": {"entry": {"keep_ms": 3000}}})
    leaves = len(plan.leaf_settings())
    print_line(
        f"starting store, live list, {leaves} leaves in {len(plan.domains)} failure "
        f"domains and {plan.daemons} daemons"
    )
    start_s = time.monotonic()
    async with Cluster(plan) as cluster:
        print_line(f"all daemons are ready after {time.monotonic() - start_s:.1f} s")
        await Demo(cluster).run()
    print_line(
        f"done after {time.monotonic() - start_s:.1f} s; all processes have ended"
    )


def main(argv: list[str]) -> None:
    """Run the demo."""
    asyncio.run(run_demo())


if __name__ == "__main__":
    absl_app.run(main)
