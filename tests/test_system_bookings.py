"""Non-idempotent requests run at most once and their verdicts are correct."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_core.claim import BUCKET_COUNT
from gypsumvane_core.claim import bucket_of
from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import ProxyPlan
from gypsumvane_devtools.sample_plans import lookup_index
from tests.system_case import SHORT_ADDRESS_TTL
from tests.system_case import SystemCase

if TYPE_CHECKING:
    from gypsumvane_devtools.control_client import Reply

INDEX = "bookings"
SERVICES = 2
DEADLINE = {"Deadline-Ms": "3000"}


def bookings_plan(*, proxies: bool) -> ClusterPlan:
    """Return the plan of a small index for bookings."""
    ledger = lookup_index(
        INDEX,
        services=SERVICES,
        replicas=2,
        slots=3,
        connections_max=100,
        non_idempotent=True,
    )
    return ClusterPlan(
        indexes=[ledger],
        daemons=4,
        daemon_settings=SHORT_ADDRESS_TTL,
        fleet=FleetDocument(defaults=Policy(deadline_ms=3000)),
        proxies=ProxyPlan(leaves=proxies),
    )


class BookingCase(SystemCase):
    """Base class of tests that book and compare verdicts with the runs."""

    key_count: ClassVar[int] = 0

    plan = bookings_plan(proxies=False)

    async def remove_faults(self) -> None:
        """Remove all faults and wait until each claim bucket accepts bookings."""
        await super().remove_faults()
        # A new owner of a bucket refuses bookings until the leases of former owners
        # have expired.
        for bucket in range(BUCKET_COUNT):
            await self.book_until_accepted(self.fresh_key(bucket))
        await self.cluster.upstreams.perform_action("reset_counters")

    def fresh_key(self, bucket: int) -> str:
        """Return an unused key that belongs to a claim bucket."""
        while True:
            BookingCase.key_count += 1
            key = f"fresh-{BookingCase.key_count}"
            if bucket_of(key) == bucket:
                return key

    async def book(self, key: str, *, daemon: int = 0, item: str = "") -> Reply:
        """Send a booking with a deadline that leaves time for its claim."""
        headers = {"Idempotency-Key": key, **DEADLINE}
        body = {"key": item or f"record-{key}", "items": 1}
        return await self.cluster.request(
            "run", INDEX, body, daemon=daemon, headers=headers
        )

    async def book_until_accepted(self, key: str, *, daemon: int = 0) -> Reply:
        """Repeat a booking until its verdict is no longer ``not_run``."""
        reply = await self.book(key, daemon=daemon)

        async def taken() -> bool:
            nonlocal reply
            if reply.values["verdict"] == "not_run":
                reply = await self.book(key, daemon=daemon)
            return reply.values["verdict"] != "not_run"

        try:
            await self.until(taken, f"{key} is taken")
        except TimeoutError as error:
            error.add_note(f"last reply: {reply.values}")
            raise
        return reply

    async def reserve(self, count: int, *, daemon: int) -> list[str]:
        """Reserve keys at a daemon."""
        address = self.cluster.daemons[daemon].addresses.callers
        path = "/v1/idempotency-keys"
        reply = await self.cluster.client.call("POST", address, path, {"count": count})
        self.assertEqual(reply.status, 200, reply.values)
        return list(reply.values["keys"])

    async def check_verdicts(self, verdicts: dict[str, list[str]]) -> None:
        """Compare the verdicts of each key with its number of runs."""
        runs = await self.cluster.upstreams.runs_by_key()
        for key, found in verdicts.items():
            self.assertLessEqual(runs.get(key, 0), 1, key)
            if "ran" in found:
                self.assertEqual(runs.get(key, 0), 1, (key, found))
            if set(found) == {"not_run"}:
                self.assertEqual(runs.get(key, 0), 0, (key, found))

    async def wait_started(self, count: int) -> None:
        """Wait until the leaves have started this many requests."""

        async def started() -> bool:
            return await self.cluster.upstreams.count_begun() >= count

        await self.until(started, f"{count} requests have started")

    async def wait_ran(self, key: str) -> None:
        """Wait until a key has run."""

        async def ran() -> bool:
            return await self.runs_of(key) > 0

        await self.until(ran, f"{key} has run")

    async def open_connections(self) -> None:
        """Send lookups so that each leaf has an open connection."""
        for number in range(8):
            await self.cluster.request(
                "lookup", INDEX, {"key": f"unknown-{number}"}, daemon=number % 4
            )


class BookingTest(BookingCase):
    """Check bookings while connections and the store fail."""

    plan = bookings_plan(proxies=True)

    async def test_key_through_all_daemons_runs_once(self) -> None:
        """Guard against two runs of one key sent to several VMs (R8)."""
        for turn in range(5):
            key = f"race-{turn}"
            replies = await asyncio.gather(
                *(self.book(key, daemon=number) for number in range(4))
            )
            verdicts = [reply.values["verdict"] for reply in replies]
            self.assertIn("ran", verdicts)
            self.assertNotIn("not_run", verdicts)
            self.assertEqual(await self.runs_of(key), 1)
            repeat = await self.book(key, daemon=turn % 4)
            records = {
                reply.values["record"]["run_id"]
                for reply in [*replies, repeat]
                if reply.values["verdict"] == "ran"
            }
            self.assertEqual(len(records), 1)
            self.assertTrue(repeat.values["replayed"])

    async def test_key_with_another_body_is_refused(self) -> None:
        """Guard against a result that belongs to another booking (R8)."""
        await self.book_until_accepted("reused")
        other = await self.book("reused", daemon=1, item="other")
        self.assertEqual(other.status, 409)
        self.assertEqual(other.values["reason"], "key_reused")
        self.assertEqual(await self.runs_of("reused"), 1)

    async def test_cut_before_the_request_arrives(self) -> None:
        """Guard against a second run or a wrong verdict after a cut (R7, R8)."""
        await self.open_connections()
        await self.add_leaf_rule("cut_before", match="/v1/run")
        first = await self.book("cut-before")
        self.assertNotEqual(first.values["verdict"], "ran")
        self.assertEqual(await self.runs_of("cut-before"), 0)
        await self.clear_proxy_rules()
        repeat = await self.book("cut-before", daemon=2)
        verdicts = [first.values["verdict"], repeat.values["verdict"]]
        await self.check_verdicts({"cut-before": verdicts})

    async def test_cut_after_the_request_arrived(self) -> None:
        """Guard against NOT_RUN and a second run after a lost answer (R7, R8)."""
        # The run completes after the connection is lost.
        slow = {"service_time": {"mean_ms": 200.0, "sigma": 0.0}}
        await self.cluster.upstreams.update_settings(slow)
        for kind in ("cut_after", "lose_answer"):
            await self.add_leaf_rule(kind, match="/v1/run", delay_ms=100)
            first = await self.book(kind)
            await self.clear_proxy_rules()
            self.assertEqual(first.values["verdict"], "may_have_run", first.values)
            for number in range(4):
                repeat = await self.book(kind, daemon=number)
                self.assertNotEqual(repeat.values["verdict"], "not_run")
            await self.wait_ran(kind)
            self.assertEqual(await self.runs_of(kind), 1)
        # Regression: the second booking reached a cold leaf that was still running
        # the first; the leaf crashed and lost the booking.
        self.assertEqual(await self.counter_sum("cold_excess"), 0)

    async def test_half_open_connection(self) -> None:
        """Guard against NOT_RUN when an upstream stops responding (R7)."""
        await self.open_connections()
        await self.add_leaf_rule("half_open", match="/v1/run")
        first = await self.book("half-open")
        self.assertNotEqual(first.values["verdict"], "ran")
        await self.clear_proxy_rules()
        repeat = await self.book("half-open", daemon=1)
        verdicts = [first.values["verdict"], repeat.values["verdict"]]
        await self.check_verdicts({"half-open": verdicts})

    async def test_failure_while_running(self) -> None:
        """Guard against NOT_RUN for a request that failed while it ran (R7)."""
        await self.cluster.upstreams.update_settings(
            {"fault": {"mode": "fail", "route": "run"}}
        )
        first = await self.book("failed")
        self.assertEqual(first.values["verdict"], "may_have_run", first.values)
        await self.cluster.upstreams.update_settings({"fault": {"mode": "none"}})
        repeat = await self.book("failed", daemon=3)
        self.assertEqual(repeat.values["verdict"], "may_have_run", repeat.values)
        self.assertEqual(await self.runs_of("failed"), 0)

    async def test_lost_store_answers(self) -> None:
        """Guard against a claim that is unknown after a lost store answer (R7, R8)."""
        store = self.cluster.store
        await store.post("/control/lose-answers", count=6, prefix="claims")
        keys = [f"lost-store-{number}" for number in range(8)]
        replies = await asyncio.gather(
            *(self.book(key, daemon=n % 4) for n, key in enumerate(keys))
        )
        verdicts = {
            key: [reply.values["verdict"]]
            for key, reply in zip(keys, replies, strict=True)
        }
        await self.check_verdicts(verdicts)
        counters = await store.get("/control/counters")
        self.assertGreater(counters["lost_answers"], 0)
        self.assertIn(["ran"], list(verdicts.values()))

    async def test_slow_store(self) -> None:
        """Guard against wrong verdicts when claims outlast the deadline (R7)."""
        await self.cluster.store.post("/control/slow", ms=700)
        keys = [f"slow-store-{number}" for number in range(8)]
        headers = {"Deadline-Ms": "900"}
        replies = await asyncio.gather(
            *(
                self.cluster.request(
                    "run",
                    INDEX,
                    {"key": key},
                    daemon=number % 4,
                    headers={"Idempotency-Key": key, **headers},
                )
                for number, key in enumerate(keys)
            )
        )
        await self.cluster.store.post("/control/slow", ms=0)
        verdicts = {
            key: [reply.values["verdict"]]
            for key, reply in zip(keys, replies, strict=True)
        }
        for key in keys:
            repeat = await self.cluster.request(
                "run", INDEX, {"key": key}, headers={"Idempotency-Key": key, **DEADLINE}
            )
            verdicts[key].append(repeat.values["verdict"])
        await self.check_verdicts(verdicts)

    async def test_store_outage(self) -> None:
        """Guard against lost bookings and wrong refusals in an outage (R7, R8)."""
        known = await self.book_until_accepted("known")
        self.assertEqual(known.values["verdict"], "ran")
        reserved = [(await self.reserve(1, daemon=n))[0] for n in range(4)]
        for silent in (False, True):
            await self.cluster.store.post("/control/outage", on=True, silent=silent)
            key = f"outage-{silent}"
            refused = await self.book(key)
            self.assertEqual(refused.values["verdict"], "not_run", refused.values)
            self.assertEqual(await self.runs_of(key), 0)
        for number, key in enumerate(reserved):
            taken = await self.book(key, daemon=(number + 1) % 4)
            self.assertEqual(taken.values["verdict"], "ran", taken.values)
            repeat = await self.book(key, daemon=(number + 2) % 4)
            self.assertEqual(repeat.values["verdict"], "ran", repeat.values)
            self.assertEqual(await self.runs_of(key), 1)
        again = await self.book("known", daemon=1)
        self.assertNotEqual(again.values["verdict"], "not_run")
        self.assertEqual(await self.runs_of("known"), 1)


class BookingDaemonTest(BookingCase):
    """Check bookings while daemons are killed, paused and replaced."""

    async def slow_leaves(self) -> None:
        """Make runs long enough that a daemon can be lost during one."""
        await self.cluster.upstreams.update_settings(
            {"service_time": {"mean_ms": 300.0, "sigma": 0.0}}
        )

    async def start_bookings(
        self, keys: list[str], *, daemon: int
    ) -> list[asyncio.Task[Any]]:
        """Send bookings and return once at least one of them runs."""
        before = await self.cluster.upstreams.count_begun()
        tasks = [asyncio.create_task(self.book(key, daemon=daemon)) for key in keys]
        await self.wait_started(before + 1)
        return tasks

    async def test_daemon_killed_during_a_run(self) -> None:
        """Guard against a second run after the holder of the claim is lost (R8)."""
        for victim in (1, 2, 3):
            keys = [f"kill-{victim}-{number}" for number in range(4)]
            await self.slow_leaves()
            tasks = await self.start_bookings(keys, daemon=0)
            await self.cluster.kill_daemon(victim, vm_lost=victim != 2)
            replies = await asyncio.gather(*tasks)
            verdicts = {
                key: [reply.values["verdict"]]
                for key, reply in zip(keys, replies, strict=True)
            }
            await self.remove_faults()
            for key in keys:
                repeat = await self.book(key, daemon=victim)
                verdicts[key].append(repeat.values["verdict"])
            await self.check_verdicts(verdicts)

    async def test_daemon_paused_past_its_lease(self) -> None:
        """Guard against a run by a holder that resumes after lease expiry (R8)."""
        for victim in (1, 2):
            keys = [f"pause-{victim}-{number}" for number in range(4)]
            await self.slow_leaves()
            tasks = await self.start_bookings(keys, daemon=0)
            self.cluster.daemons[victim].process.pause()
            others = sorted(f"vm-{n}" for n in range(4) if n != victim)
            await self.wait_members(others, daemon=0)
            replies = await asyncio.gather(*tasks)
            verdicts = {
                key: [reply.values["verdict"]]
                for key, reply in zip(keys, replies, strict=True)
            }
            repeats = await asyncio.gather(*(self.book(key) for key in keys))
            self.cluster.daemons[victim].process.resume()
            for key, repeat in zip(keys, repeats, strict=True):
                verdicts[key].append(repeat.values["verdict"])
            await self.wait_converged()
            for key in keys:
                last = await self.book(key, daemon=victim)
                verdicts[key].append(last.values["verdict"])
            await self.check_verdicts(verdicts)

    async def test_home_killed_while_the_store_is_down(self) -> None:
        """Guard against wrong verdicts after two simultaneous faults (R7, R8)."""
        await self.slow_leaves()
        own = [f"two-faults-{number}" for number in range(4)]
        reserved = await self.reserve(2, daemon=0)
        lost = await self.reserve(2, daemon=3)
        verdicts: dict[str, list[str]] = {}
        tasks = await self.start_bookings([*own, lost[0]], daemon=0)
        await self.cluster.store.post("/control/outage", on=True)
        await self.cluster.kill_daemon(3, vm_lost=True)
        replies = await asyncio.gather(*tasks)
        for key, reply in zip([*own, lost[0]], replies, strict=True):
            verdicts[key] = [reply.values["verdict"]]
        taken = await self.book_until_accepted(reserved[0], daemon=1)
        verdicts[reserved[0]] = [taken.values["verdict"]]
        unused = await self.book(lost[1], daemon=1)
        verdicts[lost[1]] = [unused.values["verdict"]]
        self.assertNotEqual(unused.values["verdict"], "ran")
        await self.remove_faults()
        for key in verdicts:
            repeat = await self.book(key, daemon=2)
            verdicts[key].append(repeat.values["verdict"])
        await self.check_verdicts(verdicts)
        # A key that a lost process had reserved never runs.
        self.assertEqual(await self.runs_of(lost[1]), 0)

    async def test_refused_connections_leave_the_key_usable(self) -> None:
        """Guard against a key that stays blocked although nothing was sent (R7)."""
        await self.cluster.upstreams.perform_action("kill")
        first = await self.book("refused")
        self.assertEqual(first.values["verdict"], "not_run", first.values)
        self.assertEqual(await self.runs_of("refused"), 0)
        await self.cluster.upstreams.perform_action("start")
        taken = await self.book_until_accepted("refused", daemon=1)
        self.assertEqual(taken.values["verdict"], "ran", taken.values)
        self.assertEqual(await self.runs_of("refused"), 1)
