"""Tests of individual scatter-gather rules."""

from __future__ import annotations

import random
import unittest
from typing import Any

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_core.extra_attempt_budget import EXTRA_BURST
from gypsumvane_core.extra_attempt_budget import HEDGE_BURST
from gypsumvane_core.extra_attempt_budget import ExtraAttemptBudget
from gypsumvane_core.gone_snapshots import ENTRY_TTL_S
from gypsumvane_core.gone_snapshots import GoneSnapshots
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.index_routes import Candidates
from gypsumvane_core.index_routes import IndexRoutes
from gypsumvane_core.index_routes import VersionChoice
from gypsumvane_core.leaf_selection import LeafSelector
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.partial_body import HitPage
from gypsumvane_core.partial_body import merge_hit_pages
from gypsumvane_core.partial_body import parse_hit_page
from gypsumvane_core.partial_body import parse_lookup_record
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_briefs import is_significant_change

LEAVES = ["s0-a", "s0-b", "s1-a", "s1-b"]


def build_index(**changes: dict[str, Any]) -> IndexDocument:
    """Return an index of two services with two leaves each and three snapshots."""
    leaves = [
        {
            "leaf_id": leaf_id,
            "service": leaf_id[:2],
            "failure_domain": leaf_id[-1],
            "address": "127.0.0.1:9",
        }
        | changes.get(leaf_id.replace("-", "_"), {})
        for leaf_id in LEAVES
    ]
    maps = {1: ["s0", "s1"], 2: ["s0", "s1"], 3: ["s0", "s1"]}
    values = {"name": "stock", "kind": "search", "leaves": leaves}
    return IndexDocument.model_validate(values | {"partition_maps": maps})


def build_routes(
    index: IndexDocument,
    snapshots: dict[str, list[int]],
    *,
    states: dict[str, str] | None = None,
    out: frozenset[str] = frozenset(),
    version: VersionChoice | None = None,
) -> IndexRoutes:
    """Return routes given the snapshots that each leaf serves."""
    briefs = {
        leaf_id: UpstreamBrief(
            leaf_id=leaf_id, state=(states or {}).get(leaf_id, "warm"), snapshots=known
        )
        for leaf_id, known in snapshots.items()
    }
    return IndexRoutes(
        index,
        version=version or VersionChoice(),
        domains_out=out,
        brief_of=briefs.get,
        is_gone=lambda leaf_id, snapshot: False,
    )


class IndexRoutesTest(unittest.TestCase):
    """Check the selection of the snapshot and of the candidates."""

    def test_newest_full_snapshot_is_chosen(self) -> None:
        """Guard against a snapshot that not all services have loaded."""
        routes = build_routes(
            build_index(),
            {"s0-a": [1, 2, 3], "s0-b": [1, 2], "s1-a": [1], "s1-b": [1, 2]},
        )
        assert routes.choice is not None
        self.assertEqual((routes.choice.snapshot, routes.choice.full), (2, True))
        names = [leaf.leaf_id for leaf in routes.candidates("s1", 2).known]
        self.assertEqual(names, ["s1-b"])

    def test_best_coverage_is_chosen_without_a_full_snapshot(self) -> None:
        """Guard against an empty result when one service is down."""
        served = {"s0-a": [1, 3], "s0-b": [], "s1-a": [2], "s1-b": [2]}
        states = {"s0-b": "unavailable", "s1-a": "unavailable", "s1-b": "draining"}
        routes = build_routes(build_index(), served, states=states)
        assert routes.choice is not None
        self.assertEqual((routes.choice.snapshot, routes.choice.full), (3, False))
        self.assertEqual(routes.choice.served, 1)

    def test_no_work_for_leaving_leaves_and_domains_out(self) -> None:
        """Guard against sending work to leaves that operators took out of service."""
        served = {leaf_id: [1] for leaf_id in LEAVES}
        index = build_index(s0_b={"leaving": True})
        routes = build_routes(index, served, out=frozenset({"a"}))
        self.assertEqual(routes.candidates("s0", 1).possible, [])
        self.assertIs(routes.reason_without_leaf("s0"), Reason.DOMAIN_OUT)
        names = [leaf.leaf_id for leaf in routes.candidates("s1", 1).possible]
        self.assertEqual(names, ["s1-b"])

    def test_new_version_never_replaces_the_old_one(self) -> None:
        """Guard against more traffic for a new version than its share."""
        served = {leaf_id: [1] for leaf_id in LEAVES}
        index = build_index(s0_a={"version": "v2"}, s1_a={"version": "v2"})
        old = VersionChoice(version="v1", excluded="v2")
        index_new_only = build_index(s0_a={"version": "v2"}, s0_b={"version": "v2"})
        routes = build_routes(index, served, version=old)
        names = [leaf.leaf_id for leaf in routes.candidates("s0", 1).possible]
        self.assertEqual(names, ["s0-b"])
        routes = build_routes(index_new_only, served, version=old)
        self.assertEqual(routes.candidates("s0", 1).possible, [])
        routes = build_routes(index, served, version=VersionChoice(version="v2"))
        names = [leaf.leaf_id for leaf in routes.candidates("s0", 1).possible]
        self.assertEqual(names, ["s0-a"])

    def test_gone_snapshot_is_remembered_for_a_while(self) -> None:
        """Guard against repeated requests for a gone snapshot."""
        clock = ManualClock()
        gone = GoneSnapshots(clock)
        gone.mark("s0-a", 2)
        self.assertTrue(gone.is_gone("s0-a", 2))
        self.assertFalse(gone.is_gone("s0-a", 1))
        clock.advance(ENTRY_TTL_S)
        self.assertFalse(gone.is_gone("s0-a", 2))


class LeafSelectorTest(unittest.TestCase):
    """Check the selection between two leaves."""

    def count_choices(self, **changes: Any) -> int:
        briefs = {
            "s0-a": UpstreamBrief(leaf_id="s0-a", state="warm", limit=2, latency_ms=5),
            "s0-b": UpstreamBrief(leaf_id="s0-b", state="warm", limit=2, latency_ms=5),
        }
        for name, value in changes.items():
            setattr(briefs["s0-b"], name, value)
        leaves = build_index().leaves[:2]
        selector = LeafSelector(briefs.get, random.Random(2))
        candidates = Candidates(known=leaves, possible=leaves)
        chosen = [selector.select(candidates) for _ in range(1000)]
        return sum(1 for leaf in chosen if leaf is not None and leaf is leaves[1])

    def test_load_moves_away_from_busy_and_slow_leaves(self) -> None:
        """Guard against a growing queue at one leaf while another is idle."""
        self.assertEqual(self.count_choices(queued=4), 0)
        self.assertEqual(self.count_choices(latency_ms=50), 0)
        self.assertTrue(400 < self.count_choices() < 600)

    def test_failing_leaf_is_avoided_until_it_answers(self) -> None:
        """Guard against a leaf that attracts requests because it fails fast."""
        selector = LeafSelector(lambda leaf_id: None, random.Random(1))
        leaves = build_index().leaves[:2]
        candidates = Candidates(known=leaves, possible=[])

        def share_of_first() -> float:
            chosen = [selector.select(candidates) for _ in range(1000)]
            return chosen.count(leaves[0]) / len(chosen)

        selector.record(leaves[0].leaf_id, failed=True)
        self.assertGreater(share_of_first(), 0.3)
        selector.record(leaves[0].leaf_id, failed=True)
        self.assertLess(share_of_first(), 0.06)
        selector.record(leaves[0].leaf_id, failed=False)
        self.assertGreater(share_of_first(), 0.3)

    def test_cold_leaf_gets_a_small_share(self) -> None:
        """Guard against a cold leaf that is overloaded or never warms up."""
        self.assertTrue(0 < self.count_choices(state="cold", limit=1) < 60)
        self.assertEqual(self.count_choices(state="cold", limit=1, queued=1), 0)


class BriefTest(unittest.TestCase):
    """Check which changes of a brief are sent to the roots."""

    def test_end_of_a_queue_is_sent(self) -> None:
        """Guard against a cold leaf that is avoided for a queue that is empty again."""
        known = UpstreamBrief(leaf_id="a", queued=2)
        self.assertTrue(is_significant_change(known, UpstreamBrief(leaf_id="a")))
        self.assertFalse(
            is_significant_change(known, UpstreamBrief(leaf_id="a", queued=1))
        )


class ExtraAttemptBudgetTest(unittest.TestCase):
    """Check the budgets of hedges and retries."""

    def test_extras_stay_within_their_shares(self) -> None:
        """Guard against hedges and retries that amplify an overload."""
        budget = ExtraAttemptBudget()
        hedges = retries = 0
        for _ in range(1000):
            budget.add_first_attempts(20, Policy())
            hedges += sum(budget.acquire_hedge(Policy()) for _ in range(20))
            retries += sum(budget.acquire_retry(Policy()) for _ in range(20))
        self.assertLessEqual(hedges, 0.05 * 20_000 + HEDGE_BURST)
        self.assertLessEqual(hedges + retries, 0.10 * 20_000 + EXTRA_BURST)
        self.assertGreater(hedges + retries, 0.09 * 20_000)

    def test_a_share_of_zero_allows_no_extras(self) -> None:
        """Guard against hedges by the initial tokens."""
        budget = ExtraAttemptBudget()
        policy = Policy(hedge_budget_share=0, extra_budget_share=0)
        self.assertFalse(budget.acquire_hedge(policy))
        self.assertFalse(budget.acquire_retry(policy))


class HedgeDelaysTest(unittest.TestCase):
    """Check the delay after which a service is hedged."""

    def test_delay_stays_below_the_slow_answers(self) -> None:
        """Guard against a delay among the slow answers of a straggler."""
        delays = HedgeDelays()
        for number in range(200):
            delays.add("s0", 0.1 if number % 10 == 0 else 0.01)
        self.assertAlmostEqual(delays.delay_s("s0", Policy()), 0.03)

    def test_ordinary_spread_is_not_hedged(self) -> None:
        """Guard against hedges that use up the budget without a straggler."""
        delays = HedgeDelays()
        rng = random.Random(2)
        latencies_s = [0.02 * rng.lognormvariate(0, 0.3) for _ in range(256)]
        for latency_s in latencies_s:
            delays.add("s0", latency_s)
        delay_s = delays.delay_s("s0", Policy())
        hedged = sum(latency_s > delay_s for latency_s in latencies_s)
        self.assertLess(hedged, 0.02 * len(latencies_s))


class PartialBodyTest(unittest.TestCase):
    """Check parsing and merging of partial answers."""

    def test_merge_orders_by_score_then_id(self) -> None:
        """Guard against pages that miss or repeat hits with equal scores."""
        rng = random.Random(4)
        hits = [{"id": f"h{n:03}", "score": rng.randrange(5)} for n in range(90)]
        pages = [HitPage(hits=hits[start::3], total=30) for start in range(3)]
        ordered = sorted(hits, key=lambda hit: (-hit["score"], hit["id"]))
        for offset in range(0, 100, 10):
            page = merge_hit_pages(pages, limit=10, offset=offset)
            self.assertEqual(page.hits, ordered[offset : offset + 10])
            self.assertEqual(page.total, 90)

    def test_invalid_bodies_are_refused(self) -> None:
        """Guard against a faulty upstream that breaks the whole page."""
        for body in (
            b"",
            b"[]",
            b'{"hits": []}',
            b'{"hits": [], "total": true}',
            b'{"hits": [{"id": 1, "score": 2}], "total": 1}',
            b'{"hits": [{"id": "a", "score": NaN}], "total": 1}',
        ):
            with self.subTest(body=body), self.assertRaises(ValueError):
                parse_hit_page(body)
        for body in (b"{}", b'{"found": true}', b'{"found": 1}'):
            with self.subTest(body=body), self.assertRaises(ValueError):
                parse_lookup_record(body)
