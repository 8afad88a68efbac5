"""Base class of system tests, which share one cluster of processes per class."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_devtools.cluster import Cluster
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.polling import wait_until
from tests.caller_load import CallerLoad

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from gypsumvane_devtools.cluster_plan import IndexPlan
    from gypsumvane_devtools.control_client import Reply

# Upper bound of each wait for a condition; no test measures time.
WAIT_TIMEOUT_S = 45.0
POLL_INTERVAL_S = 0.05
# Callers refresh their addresses soon, so that a graceful stop is short, yet long
# enough to inspect a daemon that is leaving.
SHORT_ADDRESS_TTL = {"entry": {"keep_ms": 1000}}


def three_domain_plan(*indexes: IndexPlan, **values: Any) -> ClusterPlan:
    """Return the plan of three daemons in three failure domains."""
    return ClusterPlan(
        indexes=list(indexes),
        daemons=3,
        domains=["a", "b", "c"],
        daemon_settings=SHORT_ADDRESS_TTL,
        **values,
    )


class SystemCase(unittest.TestCase):
    """Start one cluster for the class and remove all faults before each test."""

    plan: ClassVar[ClusterPlan]
    # Index whose answers must be complete before each test; empty for none.
    warm_index: ClassVar[str] = ""
    runner: ClassVar[asyncio.Runner]
    cluster: ClassVar[Cluster]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the processes."""
        # The connections of the cluster belong to one event loop, so that all tests
        # of the class run in the same one.
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.cluster = Cluster(cls.plan)
        cls.runner.run(cls.cluster.__aenter__())
        cls.addClassCleanup(cls._end_cluster)

    @classmethod
    def _end_cluster(cls) -> None:
        cls.runner.run(cls.cluster.__aexit__(None, None, None))

    def setUp(self) -> None:
        """Remove the faults of earlier tests."""
        self.runner.run(self.remove_faults())

    def _callTestMethod(  # noqa: N802
        self, method: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        try:
            self.runner.run(method())
        except BaseException as error:
            for daemon in self.cluster.daemons:
                tail = daemon.process.log_tail()[-1500:]
                error.add_note(f"{daemon.vm_id}:\n{tail}")
            raise

    async def remove_faults(self) -> None:
        """Remove all faults and wait until the cluster serves as planned."""
        cluster = self.cluster
        await cluster.store.post("/control/outage", on=False)
        await cluster.store.post("/control/slow", ms=0)
        await cluster.store.post("/control/lose-answers", count=0)
        await self.clear_proxy_rules()
        for leaf in cluster.upstreams.leaves:
            # Restore the settings of the plan.
            values = leaf.model_dump(mode="json", exclude={"address"})
            await cluster.upstreams.update_settings(values, leaf_id=leaf.leaf_id)
            await cluster.upstreams.perform_action("undrain", leaf_id=leaf.leaf_id)
        await cluster.upstreams.perform_action("mark_in")
        await self.restore_daemons()
        if self.warm_index:
            await cluster.warm_up(self.warm_index, answers=20)
        await cluster.upstreams.perform_action("reset_counters")

    async def restore_daemons(self) -> None:
        """Resume and restart daemons until all are members and serve."""
        for number, daemon in enumerate(self.cluster.daemons):
            daemon.process.resume()
            if not daemon.process.running:
                await self.cluster.start_daemon(number)
        await self.wait_converged()

    async def clear_proxy_rules(self) -> None:
        """Remove all rules of the proxy and release the held answers."""
        if not self.plan.proxies.any:
            return
        proxy = self.cluster.proxy
        for name, link in (await proxy.get("/control/links")).items():
            if link["rules"]:
                await proxy.delete(f"/control/links/{name}/rules")
            if link["held"]:
                await proxy.post(f"/control/links/{name}/release")

    async def add_rule(self, link: str, kind: str, **values: Any) -> None:
        """Add a fault rule to a link of the proxy."""
        path = f"/control/links/{link}/rules"
        await self.cluster.proxy.post(path, kind=kind, **values)

    async def add_leaf_rule(self, kind: str, **values: Any) -> None:
        """Add a fault rule to the links of all leaves."""
        for leaf in self.cluster.upstreams.leaves:
            await self.add_rule(f"leaf-{leaf.leaf_id}", kind, **values)

    # Waiting

    async def until(self, condition: Callable[[], Any], what: str) -> None:
        """Wait for a condition, at most WAIT_TIMEOUT_S."""
        await wait_until(
            condition, what, timeout_s=WAIT_TIMEOUT_S, interval_s=POLL_INTERVAL_S
        )

    async def wait_converged(self) -> None:
        """Wait until all running daemons serve and agree on the members."""
        running = self.running()
        for number in running:
            await self.cluster.wait_ready(number)
        vm_ids = sorted(self.cluster.daemons[number].vm_id for number in running)

        async def agreed() -> bool:
            replies = [await self.vms(number) for number in running]
            epochs = {reply["epoch"] for reply in replies}
            members = [
                sorted(vm["vm_id"] for vm in reply["vms"] if vm["live"])
                for reply in replies
            ]
            return len(epochs) == 1 and all(found == vm_ids for found in members)

        await self.until(agreed, f"members are {vm_ids}")

    async def wait_members(self, vm_ids: list[str], *, daemon: int) -> None:
        """Wait until one daemon sees exactly these live members."""

        async def seen() -> bool:
            values = await self.vms(daemon)
            found = sorted(vm["vm_id"] for vm in values["vms"] if vm["live"])
            return found == vm_ids

        await self.until(seen, f"members are {vm_ids}")

    async def wait_gone(self, number: int, *, daemon: int) -> None:
        """Wait until one daemon no longer sees another as a live member."""
        vm_id = self.cluster.daemons[number].vm_id

        async def gone() -> bool:
            values = await self.vms(daemon)
            return not any(vm["vm_id"] == vm_id and vm["live"] for vm in values["vms"])

        await self.until(gone, f"{vm_id} is gone")

    async def wait_listening(self, number: int) -> None:
        """Wait until a daemon accepts callers, ready or not."""
        address = self.cluster.daemons[number].addresses.callers

        async def listens() -> bool:
            try:
                await self.cluster.client.call("GET", address, "/v1/ready")
            except OSError:
                return False
            return True

        await self.until(listens, f"vm-{number} listens")

    async def wait_leaves_warm(self, *, daemon: int = 0) -> None:
        """Wait until a daemon sees every leaf as warm; needs load."""

        async def warm() -> bool:
            for leaf in self.cluster.upstreams.leaves:
                reply = await self.cluster.operator_request(
                    "GET", f"/v1/leaves/{leaf.leaf_id}", daemon=daemon
                )
                if reply.values["state"] != "warm":
                    return False
            return True

        await self.until(warm, "all leaves are warm")

    async def wait_in_force(self, name: str, revision: int) -> None:
        """Wait until every running daemon has applied a revision."""

        async def applied() -> bool:
            return min(await self.revisions(name)) >= revision

        await self.until(applied, f"{name} has revision {revision} everywhere")

    # Queries

    def running(self) -> list[int]:
        """Return the numbers of the running daemons."""
        daemons = enumerate(self.cluster.daemons)
        return [number for number, daemon in daemons if daemon.process.running]

    async def vms(self, daemon: int) -> dict[str, Any]:
        """Return the members as one daemon sees them."""
        return (
            await self.cluster.operator_request("GET", "/v1/vms", daemon=daemon)
        ).values

    async def home_number(self, leaf_id: str, *, daemon: int = 0) -> int | None:
        """Return the number of the daemon that is the home of a leaf, if any."""
        path = f"/v1/leaves/{leaf_id}"
        reply = await self.cluster.operator_request("GET", path, daemon=daemon)
        home = reply.values["home"]
        return None if home is None else int(home.removeprefix("vm-"))

    async def revisions(self, name: str) -> list[int]:
        """Return the revision of a document that each running daemon has applied."""
        found = []
        for number in self.running():
            document = await self.document(name, daemon=number)
            found.append(int(document.get("revision", 0)))
        return found

    async def document(self, name: str, *, daemon: int = 0) -> dict[str, Any]:
        """Return a document as one daemon has applied it."""
        path = f"/v1/documents/{name}"
        return (await self.cluster.operator_request("GET", path, daemon=daemon)).values

    async def counter_max(self, name: str, **select: str) -> int:
        """Return the highest value of a counter among the leaves."""
        counters = await self.cluster.upstreams.counters(**select)
        return max((int(values[name]) for values in counters.values()), default=0)

    async def counter_sum(self, name: str, **select: str) -> int:
        """Return the sum of a counter over the leaves."""
        counters = await self.cluster.upstreams.counters(**select)
        return sum(int(values[name]) for values in counters.values())

    async def received(self, kind: str, **select: str) -> int:
        """Return the number of requests of one kind that the leaves received."""
        counters = await self.cluster.upstreams.counters(**select)
        return sum(values["received"].get(kind, 0) for values in counters.values())

    async def runs_of(self, key: str) -> int:
        """Return how often a key ran."""
        return (await self.cluster.upstreams.runs_by_key()).get(key, 0)

    # Actions

    async def change_domain(
        self, domain: str, direction: str, change_id: str, *, daemon: int = 0
    ) -> int:
        """Take a failure domain out or in and return the new revision."""
        body = {"change_id": change_id, "reason": "test of a failure domain"}
        path = f"/v1/domains/{domain}/{direction}"
        reply = await self.cluster.operator_request("POST", path, body, daemon=daemon)
        self.assertEqual(reply.status, 200, reply.values)
        return int(reply.values["revision"])

    async def put_document(
        self,
        name: str,
        body: dict[str, Any],
        *,
        revision: int,
        change_id: str,
        daemon: int = 0,
    ) -> Reply:
        """Replace a document on condition of its current revision."""
        change = {
            "change_id": change_id,
            "author": f"operator-{daemon}",
            "reason": f"test change {change_id}",
            "expected_revision": revision,
            "body": body,
        }
        path = f"/v1/documents/{name}"
        return await self.cluster.operator_request("PUT", path, change, daemon=daemon)

    def load(self, index: str, *, callers: int = 4) -> CallerLoad:
        """Return a context manager whose callers search until it exits."""
        return CallerLoad(self.cluster, index, callers=callers)

    # Checks

    async def check_limits(self, *, leaves_restarted: bool = False) -> None:
        """Check that no leaf received more than its slots and connections allow.

        A leaf that restarted has refused connections while it was down.
        """
        counters = await self.cluster.upstreams.counters()
        for leaf in self.cluster.upstreams.leaves:
            values = counters[leaf.leaf_id]
            self.assertLessEqual(values["running_max"], leaf.slots, leaf.leaf_id)
            self.assertLessEqual(
                values["in_progress_max"], leaf.slots, f"{leaf.leaf_id} {values}"
            )
            if not leaves_restarted:
                self.assertEqual(values["connections_refused"], 0, leaf.leaf_id)
            self.assertLessEqual(
                values["connections_max"], leaf.connections_max, leaf.leaf_id
            )

    def check_answers(self, load: CallerLoad) -> None:
        """Check that answers belong to their requests and are correct."""
        result = load.result
        self.assertEqual(result.foreign_answers, 0)
        self.assertEqual(result.mixed_snapshots, 0)
        self.assertEqual(result.untrue_coverage, 0)
        self.assertEqual(result.wrong_hits, 0)
