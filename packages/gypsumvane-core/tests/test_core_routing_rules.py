"""Tests of the rules by which requests are routed."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from gypsumvane_core.routing.cold_start import ColdStartBound
from gypsumvane_core.routing.config import GatherPlan
from gypsumvane_core.routing.config import Route
from gypsumvane_core.routing.config import RoutingConfig
from gypsumvane_core.routing.config import WeightedService
from gypsumvane_core.routing.coverage import DELIVERY_MARGIN_S
from gypsumvane_core.routing.coverage import CoveragePolicy
from gypsumvane_core.routing.latency_tracker import LatencyTracker
from gypsumvane_core.routing.leaf_choice import LeafChooser
from gypsumvane_core.routing.leaf_load import LeafLoad
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.part_merge import merge_records
from gypsumvane_core.routing.retry_budget import RetryAllowance
from gypsumvane_core.routing.retry_budget import RetryBudget
from gypsumvane_core.routing.route_table import RouteTable
from gypsumvane_core.routing.traffic_split import TrafficSplit


def route(name: str, prefix: str, host: str = "a.example") -> Route:
    """Return a route to service ``s``."""
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        idempotent=True,
        timeout_ms=1000,
        services=(WeightedService("s", 1.0),),
    )


class RouteTableTest(unittest.TestCase):
    """Check the lookup by host and longest path prefix."""

    def setUp(self) -> None:
        routes = (route("short", "/x/"), route("long", "/x/y/"), route("root", "/"))
        other = (route("other", "/x/", "b.example"),)
        self.table = RouteTable(RoutingConfig(1, routes + other, {}))

    def find(self, host: str, path: str) -> str | None:
        """Return the name of the matching route, None if there is none."""
        found = self.table.find(host, path)
        return None if found is None else found.name

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.find("a.example", "/x/y/z"), "long")
        self.assertEqual(self.find("a.example", "/x/y"), "short")
        self.assertEqual(self.find("a.example", "/q"), "root")

    def test_host_without_port_and_case(self) -> None:
        self.assertEqual(self.find("A.Example:80", "/x/"), "short")
        self.assertEqual(self.find("b.example", "/x/1"), "other")

    def test_no_route(self) -> None:
        self.assertIsNone(self.find("b.example", "/y/"))
        self.assertIsNone(self.find("c.example", "/x/"))
        self.assertIsNone(self.find("b.example", "x"))


class TrafficSplitTest(unittest.TestCase):
    """Check the distribution over weighted services."""

    def test_shares_are_exact(self) -> None:
        """Guard against a split that is only right on average."""
        parts = (WeightedService("a", 70.0), WeightedService("b", 30.0))
        split = TrafficSplit()
        counts = Counter(split.choose("r", parts) for _ in range(100))
        self.assertEqual(counts, {"a": 70, "b": 30})

    def test_service_without_weight_gets_no_requests(self) -> None:
        parts = (WeightedService("a", 1.0), WeightedService("b", 0.0))
        split = TrafficSplit()
        self.assertEqual({split.choose("r", parts) for _ in range(20)}, {"a"})


class MergeTest(unittest.TestCase):
    """Check the order and number of merged records."""

    def test_greatest_first_with_equal_records(self) -> None:
        bodies = [bytes([1]) * 16 + bytes([9]) * 16, bytes([9]) * 16 + b"rest"]
        merged = merge_records(bodies, 3)
        self.assertEqual(merged, bytes([9]) * 32 + bytes([1]) * 16)

    def test_bytes_compare_unsigned(self) -> None:
        self.assertEqual(
            merge_records([bytes([127]) * 16, bytes([200]) * 16], 1), bytes([200]) * 16
        )


class CoverageTest(unittest.TestCase):
    """Check when a partial answer is given."""

    policy = CoveragePolicy(services=20, min_share=0.89, latency_objective_s=0.1)

    def test_waits_for_all_parts_before_the_latency_objective(self) -> None:
        self.assertFalse(self.policy.should_answer(19, pending=1, age_s=0.05))
        self.assertTrue(self.policy.should_answer(20, pending=0, age_s=0.05))

    def test_partial_answer_near_the_latency_objective(self) -> None:
        self.assertTrue(self.policy.should_answer(18, pending=2, age_s=0.095))

    def test_too_few_parts_are_no_answer(self) -> None:
        """Guard against a success with fewer parts than the least share."""
        self.assertFalse(self.policy.should_answer(17, pending=3, age_s=0.095))
        self.assertFalse(self.policy.sufficient(17))
        self.assertFalse(CoveragePolicy(3, 0.0, None).sufficient(0))

    def test_without_latency_objective_waits_for_all_parts(self) -> None:
        policy = CoveragePolicy(services=2, min_share=0.5, latency_objective_s=None)
        self.assertFalse(policy.should_answer(1, pending=1, age_s=100.0))

    def test_exact_share(self) -> None:
        self.assertTrue(CoveragePolicy(4, 0.75, None).sufficient(3))

    def test_plan_of_a_route(self) -> None:
        plan = GatherPlan(services=("a", "b"), records_max=5, min_share=0.5)
        self.assertEqual(len(plan.services), 2)


class RetryBudgetTest(unittest.TestCase):
    """Check that the fleet stays within a service's allowance."""

    allowance = RetryAllowance(ratio=0.2, slack=54, window_s=10)

    def test_extra_sends_of_all_daemons_in_any_window(self) -> None:
        """Guard against a fleet that exceeds the allowance."""
        daemons = 7
        budgets = [RetryBudget(self.allowance, 1 / daemons) for _ in range(daemons)]
        sends: list[tuple[float, int, int]] = []
        for step in range(3000):
            now_s = step * 0.01
            for budget in budgets:
                if step % 10 == 0:
                    budget.add_request("s", now_s)
                sends.append((now_s, int(step % 10 == 0), budget.take("s", now_s)))
        for start in range(20):
            window = [row for row in sends if start <= row[0] < start + 10]
            requests = sum(row[1] for row in window)
            extra = sum(row[2] for row in window)
            self.assertLessEqual(extra, 0.2 * requests + 54)

    def test_allowance_is_used(self) -> None:
        """Guard against a budget that refuses sends that the service accepts."""
        budget = RetryBudget(self.allowance, 1)
        taken = sum(budget.take("s", 0.0) for _ in range(100))
        self.assertGreaterEqual(taken, 15)


class LeafChooserTest(unittest.TestCase):
    """Check which leaf is chosen for a request."""

    def setUp(self) -> None:
        self.loads: dict[str, LeafLoad] = {}
        self.chooser = LeafChooser("a", random.Random(1))
        self.entries = [
            LeafEntry(
                leaf_id=name, service="s", address=name, failure_domain="a", slots=2
            )
            for name in ("1", "2")
        ]

    def load(self, entry: LeafEntry) -> LeafLoad:
        """Return the load of a leaf."""
        return self.loads.setdefault(entry.leaf_id, LeafLoad())

    def count(self, now_s: float, draws: int = 200) -> Counter[str]:
        """Return how often each leaf is chosen."""
        counts: Counter[str] = Counter()
        for _ in range(draws):
            entry = self.chooser.choose(
                self.entries, self.load, late_after_s=0.05, now_s=now_s
            )
            assert entry is not None
            counts[entry.leaf_id] += 1
        return counts

    def test_equivalent_leaves_share_requests(self) -> None:
        self.assertGreater(min(self.count(1.0).values()), 50)

    def test_stalled_leaf_is_avoided(self) -> None:
        """Guard against requests to a leaf that is paused."""
        self.load(self.entries[0]).begin(1.0)
        self.assertEqual(set(self.count(1.1)), {"2"})

    def test_leaf_with_a_late_call_is_avoided_for_a_pause(self) -> None:
        self.load(self.entries[0]).record_late_call(1.0)
        self.assertEqual(set(self.count(1.1)), {"2"})
        self.assertEqual(len(self.count(2.0)), 2)

    def test_slow_leaf_is_avoided_and_retried_later(self) -> None:
        for step in range(10):
            self.load(self.entries[0]).record_success(8.0, 1.0 + step * 0.01)
        self.assertEqual(set(self.count(1.2)), {"2"})
        self.assertEqual(len(self.count(20.0)), 2)

    def test_failing_leaf_is_avoided(self) -> None:
        for _ in range(5):
            self.load(self.entries[0]).record_failure(1.0)
        self.assertEqual(set(self.count(1.1)), {"2"})

    def test_unreachable_leaf_is_the_last_choice(self) -> None:
        self.load(self.entries[0]).record_unreachable(1.0)
        for _ in range(9):
            self.load(self.entries[1]).record_failure(1.0)
        self.assertEqual(set(self.count(1.1)), {"2"})

    def test_no_leaf(self) -> None:
        self.assertIsNone(
            self.chooser.choose([], self.load, late_after_s=0.1, now_s=1.0)
        )


class ColdStartTest(unittest.TestCase):
    """Check that the fleet stays within the limit of a cold leaf."""

    def test_requests_of_all_daemons_in_any_second(self) -> None:
        """Guard against overload of a cold leaf."""
        bound = ColdStartBound(overshoot_ratio=1.5, slack=5)
        daemons, warmup_per_s = 8, 12.0
        loads = [LeafLoad() for _ in range(daemons)]
        sends: list[float] = []
        for step in range(500):
            now_s = step * 0.01
            for load in loads:
                if load.accepts_cold_request(
                    bound.daemon_rate_per_s(warmup_per_s, 1 / daemons), now_s
                ):
                    load.record_cold_request(now_s)
                    sends.append(now_s)
        self.assertGreater(len(sends), 20)
        for start_s in sends:
            within = sum(start_s <= at < start_s + 1.0 for at in sends)
            self.assertLessEqual(within, warmup_per_s * 1.5 + 5)


class LatencyTrackerTest(unittest.TestCase):
    """Check the delay after which a hedge is sent."""

    def test_delay_lies_between_two_and_three_medians(self) -> None:
        tracker = LatencyTracker()
        for step in range(100):
            tracker.add("r", 0.2 if step % 8 == 0 else 0.03)
        self.assertAlmostEqual(tracker.hedge_after_s("r"), 0.09)
        self.assertAlmostEqual(tracker.median_s("r"), 0.03)

    def test_route_without_a_latency_objective(self) -> None:
        self.assertGreater(LatencyTracker().hedge_after_s("r"), 0)

    def test_estimate_from_the_latency_objective_without_samples(self) -> None:
        """Guard against hedging every request of a slow route with few samples.

        Lookups of 160 ms were hedged after 50 ms on a day with little load. That used
        up the retry budget, and none was left for requests to a slow leaf.
        """
        tracker = LatencyTracker()
        self.assertGreater(tracker.hedge_after_s("r", latency_objective_s=0.6), 0.25)
        self.assertAlmostEqual(tracker.median_s("r", latency_objective_s=0.6), 0.15)
        self.assertLess(tracker.hedge_after_s("r", latency_objective_s=0.06), 0.05)

    def test_hedge_leaves_time_for_its_answer(self) -> None:
        """Guard against a hedge that cannot be answered within the objective."""
        tracker = LatencyTracker()
        for step in range(100):
            tracker.add("r", 0.15 if step % 8 == 0 else 0.05)
        self.assertAlmostEqual(tracker.hedge_after_s("r"), 0.15)
        due_s = 0.18 - DELIVERY_MARGIN_S
        self.assertAlmostEqual(
            tracker.hedge_after_s("r", latency_objective_s=0.18), due_s - 0.05
        )

    def test_tight_latency_objective_keeps_the_least_delay(self) -> None:
        """Guard against hedges after less than the jitter of timers."""
        tracker = LatencyTracker()
        for _ in range(100):
            tracker.add("r", 0.002)
        self.assertGreaterEqual(
            tracker.hedge_after_s("r", latency_objective_s=0.02), 0.008
        )

    def test_hedge_is_not_sent_within_the_median_latency(self) -> None:
        """Guard against hedging most requests of a route with a tight objective."""
        tracker = LatencyTracker()
        for _ in range(100):
            tracker.add("r", 0.05)
        self.assertGreaterEqual(
            tracker.hedge_after_s("r", latency_objective_s=0.07), 0.07
        )
