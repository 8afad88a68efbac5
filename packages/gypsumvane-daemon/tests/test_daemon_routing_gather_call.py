"""Gathered requests that cannot succeed are ended at once."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from gypsumvane_core.clock import SystemClock
from gypsumvane_core.reason import Reason
from gypsumvane_core.routing.config import GatherPlan
from gypsumvane_core.routing.config import Route
from gypsumvane_core.routing.config import RoutingConfig
from gypsumvane_core.routing.latency_tracker import LatencyTracker
from gypsumvane_core.routing.leaf_choice import LeafChooser
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.leaf_registry import LeafRegistry
from gypsumvane_core.routing.retry_budget import RetryAllowance
from gypsumvane_core.routing.retry_budget import RetryBudget
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
from gypsumvane_daemon.routing.gather_call import GatherCall
from gypsumvane_daemon.routing.gather_call import GatheredAnswer
from gypsumvane_daemon.routing.gather_call import GatherFailure
from gypsumvane_daemon.routing.leaf_attempt import LeafFailure
from gypsumvane_daemon.routing.leaf_attempt import LeafReply
from gypsumvane_daemon.routing.leaf_channel import LeafAnswer
from gypsumvane_daemon.routing.leaf_pool import LeafPool
from gypsumvane_daemon.routing.request_log import RequestLog
from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics
from gypsumvane_daemon.routing.service_call import CallContext
from waiting import WAIT_TIMEOUT_S

SERVICES = tuple(f"shard-{number:02}" for number in range(20))
PLAN = GatherPlan(services=SERVICES, records_max=10, min_share=0.9)
ROUTE = Route(
    name="r",
    host="shop.example",
    path_prefix="/",
    idempotent=True,
    timeout_ms=60_000,
    attempts_max=1,
    gather=PLAN,
)


@dataclass(slots=True)
class FakeSender:
    """Answer, fail or stay silent by service."""

    registry: LeafRegistry
    failing: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()
    pool: LeafPool = field(default_factory=lambda: LeafPool("d", random.Random(1)))
    sent: list[str] = field(default_factory=list)

    async def send(self, entry: LeafEntry, *_: Any, **__: Any) -> Any:
        """Record the service and behave as scripted."""
        self.sent.append(entry.service)
        if entry.service in self.silent:
            await asyncio.Event().wait()
        if entry.service in self.failing:
            return LeafFailure(
                entry, Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, reached_leaf=True
            )
        answer = LeafAnswer(200, (), b"r" * 16, _fields={})  # type: ignore[arg-type]
        return LeafReply(entry, answer, entry.service, 0.01)


class HopelessGatherTest(unittest.IsolatedAsyncioTestCase):
    """Play the loss of all leaves of several shards."""

    def start(
        self,
        *,
        gone: tuple[str, ...] = (),
        failing: tuple[str, ...] = (),
        silent: tuple[str, ...] = (),
    ) -> GatherCall:
        """Return a call to one leaf of each service that is not gone."""
        registry = LeafRegistry()
        for service in SERVICES:
            if service not in gone:
                leaf = LeafEntry(f"leaf-{service}", service, "127.0.0.1:1", "fd-a")
                registry.put(leaf, 0.0)
        self.sender = FakeSender(registry, frozenset(failing), frozenset(silent))
        clock = SystemClock()
        context = CallContext(
            sender=self.sender,  # type: ignore[arg-type]
            chooser=LeafChooser("fd-a", random.Random(1)),
            budget=RetryBudget(RetryAllowance(0.2, 54.0, 10.0)),
            latencies=LatencyTracker(),
            moves=MoveRegistry(CanaryBound(0.1)),
            clock=clock,
            log=RequestLog(clock, RoutingMetrics()),
        )
        now_s = clock.monotonic_s()
        self.until_s = now_s + WAIT_TIMEOUT_S
        request = ForwardedRequest(
            method="GET",
            request_id="1",
            head=b"",
            body=b"",
            arrived_s=now_s,
            deadline_s=self.until_s,
        )
        config = RoutingConfig(1, (ROUTE,), {})
        return GatherCall(context, ROUTE, PLAN, config, request)

    async def result(self, call: GatherCall) -> GatheredAnswer | GatherFailure:
        """Return the result; raises TimeoutError if it comes near the deadline."""
        async with asyncio.timeout(WAIT_TIMEOUT_S / 2):
            return await call.run(self.until_s)

    async def test_nothing_is_sent_without_enough_leaves(self) -> None:
        """Guard against work at leaves for an answer that cannot be given."""
        result = await self.result(self.start(gone=SERVICES[:3]))
        assert isinstance(result, GatherFailure)
        self.assertIs(result.verdict, Verdict.NOT_RUN)
        self.assertFalse(result.deadline_passed)
        self.assertEqual(self.sender.sent, [])

    async def test_too_many_failures_end_the_wait(self) -> None:
        """Guard against a caller that is held until its deadline for nothing."""
        call = self.start(failing=SERVICES[:3], silent=SERVICES[3:])
        result = await self.result(call)
        assert isinstance(result, GatherFailure)
        self.assertIs(result.verdict, Verdict.MAY_HAVE_RUN)
        self.assertFalse(result.deadline_passed)

    async def test_missing_leaves_within_the_share_are_left_out(self) -> None:
        """Guard against a refusal of a request that can be answered in part."""
        result = await self.result(self.start(gone=SERVICES[:1], failing=SERVICES[1:2]))
        assert isinstance(result, GatheredAnswer)
        self.assertEqual((result.missing, len(result.signatures)), (2, 18))
        self.assertEqual(sorted(self.sender.sent), sorted(SERVICES[1:]))
