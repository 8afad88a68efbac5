"""Hedges with a scripted sender."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from gypsumvane_core.clock import SystemClock
from gypsumvane_core.routing.config import Route
from gypsumvane_core.routing.config import WeightedService
from gypsumvane_core.routing.latency_tracker import LatencyTracker
from gypsumvane_core.routing.leaf_choice import LeafChooser
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.leaf_registry import LeafRegistry
from gypsumvane_core.routing.version_move import CanaryBound
from gypsumvane_core.routing.version_move import MoveRegistry
from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
from gypsumvane_daemon.routing.leaf_attempt import LeafReply
from gypsumvane_daemon.routing.leaf_channel import LeafAnswer
from gypsumvane_daemon.routing.leaf_pool import LeafPool
from gypsumvane_daemon.routing.request_log import RequestLog
from gypsumvane_daemon.routing.routing_metrics import RoutingMetrics
from gypsumvane_daemon.routing.service_call import CallContext
from gypsumvane_daemon.routing.service_call import ServiceCall
from waiting import WAIT_TIMEOUT_S

SERVICE = "ledger"
ROUTE = Route(
    name="r",
    host="shop.example",
    path_prefix="/",
    idempotent=True,
    timeout_ms=60_000,
    latency_objective_ms=100,
    attempts_max=2,
    services=(WeightedService(SERVICE, 1.0),),
)


@dataclass(slots=True)
class FirstSendUnanswered:
    """Sender that leaves the first send unanswered and answers later ones."""

    registry: LeafRegistry
    pool: LeafPool = field(default_factory=lambda: LeafPool("d", random.Random(1)))
    leaf_ids: list[str] = field(default_factory=list)

    async def send(
        self, entry: LeafEntry, *_: Any, median_latency_s: float, answer_bytes_max: int
    ) -> LeafReply:
        """Record the leaf and answer unless this is the first send."""
        self.leaf_ids.append(entry.leaf_id)
        if len(self.leaf_ids) == 1:
            await asyncio.Event().wait()
        answer = LeafAnswer(200, (), b"", _fields={})  # type: ignore[arg-type]
        return LeafReply(entry, answer, "signature", median_latency_s)


@dataclass(slots=True)
class ScriptedBudget:
    """Budget that refuses a number of extra sends, then allows them."""

    refusals: int

    def add_request(self, service: str, now_s: float) -> None:
        """Ignore the request."""

    def take(self, service: str, now_s: float) -> bool:
        """Return whether an extra send is allowed."""
        self.refusals -= 1
        return self.refusals < 0


@dataclass(slots=True)
class PromptSender:
    """Sender that answers a moment after its send has begun."""

    registry: LeafRegistry
    pool: LeafPool = field(default_factory=lambda: LeafPool("d", random.Random(1)))
    leaf_ids: list[str] = field(default_factory=list)

    async def send(
        self, entry: LeafEntry, *_: Any, median_latency_s: float, answer_bytes_max: int
    ) -> LeafReply:
        """Record the leaf and answer."""
        self.leaf_ids.append(entry.leaf_id)
        await asyncio.sleep(0.005)
        answer = LeafAnswer(200, (), b"", _fields={})  # type: ignore[arg-type]
        return LeafReply(entry, answer, "signature", median_latency_s)


def two_leaves() -> LeafRegistry:
    """Return a registry with two leaves of the service."""
    registry = LeafRegistry()
    for leaf_id in ("a", "b"):
        registry.put(LeafEntry(leaf_id, SERVICE, "127.0.0.1:1", "fd-a", slots=2), 0.0)
    return registry


def service_call(sender: Any, *, refusals: int) -> ServiceCall:
    """Return a call whose budget refuses a number of extra sends."""
    clock = SystemClock()
    context = CallContext(
        sender=sender,
        chooser=LeafChooser("fd-a", random.Random(1)),
        budget=ScriptedBudget(refusals=refusals),  # type: ignore[arg-type]
        latencies=LatencyTracker(),
        moves=MoveRegistry(CanaryBound(0.1)),
        clock=clock,
        log=RequestLog(clock, RoutingMetrics()),
    )
    now_s = clock.monotonic_s()
    request = ForwardedRequest(
        method="GET",
        request_id="1",
        head=b"",
        body=b"",
        arrived_s=now_s,
        deadline_s=now_s + WAIT_TIMEOUT_S,
    )
    return ServiceCall(context, ROUTE, SERVICE, None, request)


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """Check when a hedge is sent."""

    async def test_hedge_without_budget_is_retried(self) -> None:
        """Guard against a request that waits for a slow leaf without a hedge.

        The budget was empty when the hedge was due and had refilled a moment later,
        but the hedge was not retried. The answer came after 2.2 s.
        """
        sender = FirstSendUnanswered(two_leaves())
        call = service_call(sender, refusals=2)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            result = await call.run()
        self.assertIsInstance(result, LeafReply)
        self.assertEqual(sorted(sender.leaf_ids), ["a", "b"])

    async def test_busy_daemon_sends_no_hedge(self) -> None:
        """Guard against a second send because this daemon began the first one late.

        A daemon with little processor time sent hedges for nearly every part of a
        gathered request, which made it later still.
        """
        sender = PromptSender(two_leaves())
        call = service_call(sender, refusals=0)
        running = asyncio.create_task(call.run())
        # Runs between the first step of the call and that of its send.
        asyncio.get_running_loop().call_soon(time.sleep, 0.3)
        self.assertIsInstance(await running, LeafReply)
        self.assertEqual(len(sender.leaf_ids), 1)
