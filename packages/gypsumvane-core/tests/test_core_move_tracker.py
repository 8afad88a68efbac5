"""Tests of the share, evidence and slow threshold of a version move."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumvane_core.answer_sampler import AnswerSample
from gypsumvane_core.answer_sampler import AnswerSampler
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_core.messages import MoveEvidence
from gypsumvane_core.move_evidence import EvidenceTable
from gypsumvane_core.move_schedule import MoveSchedule
from gypsumvane_core.move_tracker import MoveTracker
from gypsumvane_core.move_tracker import RouteEvidence
from gypsumvane_core.slow_threshold import SlowThreshold


def move_document(**changes: object) -> MoveDocument:
    """Return a move that is scheduled for 100 s."""
    values: dict[str, object] = {
        "move_id": "m1",
        "index": "ledger",
        "from_version": "v1",
        "to_version": "v2",
        "start_unix_s": 1000.0,
        "complete_by_unix_s": 1100.0,
    }
    return MoveDocument.model_validate(values | changes)


class MoveScheduleTest(unittest.TestCase):
    """Check the share over time."""

    def test_share_follows_canary_and_line(self) -> None:
        """Guard against a rising share before the new version is proven."""
        schedule = MoveSchedule(move_document())
        self.assertEqual(schedule.share(999.0, None), 0.0)
        self.assertEqual(schedule.share(1090.0, None), 0.02)
        self.assertAlmostEqual(schedule.share(1060.0, 1020.0), 0.51)
        self.assertEqual(schedule.share(1100.0, 1020.0), 1.0)

    def test_late_canary_is_followed_by_a_rise(self) -> None:
        """Guard against a jump to full load for a version that is proven late."""
        schedule = MoveSchedule(move_document())
        self.assertLess(schedule.share(1101.0, 1099.0), 0.2)
        self.assertEqual(schedule.share(1119.0, 1099.0), 1.0)


class EvidenceTableTest(unittest.TestCase):
    """Check that totals do not depend on the order of reports."""

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.data())
    def test_reports_may_repeat_and_be_reordered(self, data: st.DataObject) -> None:
        """Guard against evidence that decreases or is counted twice."""
        table = EvidenceTable("m1", "own")
        rows = [
            MoveEvidence("m1", "search", f"i{who}", old_answers=n, new_answers=2 * n)
            for who in range(3)
            for n in range(1, 5)
        ]
        grown = 0
        order = data.draw(st.permutations(rows + rows))
        for row in order:
            table.merge(row)
            step = table.growth().get("search")
            grown += step.new_answers if step else 0
        self.assertEqual(table.total("search").old_answers, 12)
        self.assertEqual(grown, 24)

    def test_first_report_with_high_counts_is_not_growth(self) -> None:
        """Guard against comparing an hour of answers as one step after a restart."""
        table = EvidenceTable("m1", "own")
        table.merge(MoveEvidence("m1", "search", "i1", old_answers=5000))
        self.assertEqual(table.growth()["search"].old_answers, 0)
        self.assertEqual(table.total("search").old_answers, 5000)


class MoveTrackerTest(unittest.TestCase):
    """Check the decisions of a daemon on its answers."""

    def setUp(self) -> None:
        self.tracker = MoveTracker(
            move_document(), incarnation="own", rng=random.Random(1), good_needed=20
        )
        self.now_s = 1000.0

    def answer(self, route: str, version: str, *, failed: bool = False) -> str | None:
        """Record one answer and compare."""
        self.now_s += 0.25
        sample = AnswerSample(failed, 10.0)
        self.tracker.record(route, version, sample, self.now_s)
        return self.tracker.step(self.now_s + 0.1, self.now_s)

    def test_canary_ends_only_with_good_answers(self) -> None:
        """Guard against a rising share for a version that has not answered yet."""
        for _ in range(100):
            self.answer("search", "v1")
        self.assertEqual(self.tracker.share(self.now_s), 0.02)
        for _ in range(22):
            self.answer("search", "v2")
        self.assertIsNotNone(self.tracker.proven_at_unix_s)

    def test_canary_does_not_end_while_many_answers_fail(self) -> None:
        """Guard against full traffic for a version that fails often."""
        counts = MoveEvidence(
            "m1", "search", old_answers=1000, new_answers=75, new_failures=31
        )
        evidence = RouteEvidence(counts, good_new=44, good_needed=20)
        self.assertFalse(evidence.proven)
        usual = replace(counts, old_failures=10, new_failures=1)
        self.assertTrue(RouteEvidence(usual, good_new=74, good_needed=20).proven)

    def test_one_failing_route_is_not_diluted(self) -> None:
        """Guard against a fault on one route that failures of others hide."""
        reasons = set()
        for number in range(400):
            self.answer("search", "v1", failed=number % 2 == 0)
            self.answer("run", "v1")
            sample = AnswerSample(number % 2 == 0, 10.0)
            self.tracker.record("search", "v2", sample, self.now_s)
            sample = AnswerSample(number % 4 == 0, 10.0)
            self.tracker.record("run", "v2", sample, self.now_s)
            reasons.add(self.tracker.step(self.now_s + 0.1, self.now_s))
        self.assertIn("v2 fails more often on run", reasons)


class SamplingTest(unittest.TestCase):
    """Check which answers are sampled and which count as slow."""

    def test_one_stall_counts_once(self) -> None:
        """Guard against counting the parts of one query that fail together."""
        sampler = AnswerSampler(random.Random(1))
        source = ("search", "v2")
        samples = [
            sampler.add(source, AnswerSample(True, 1.0), 1.001) for _ in range(20)
        ]
        self.assertEqual([s for s in samples if s], [])
        self.assertEqual(len(sampler.flush(1.05)), 1)

    def test_threshold_ignores_small_differences(self) -> None:
        """Guard against rejecting a version for slightly higher latency."""
        threshold = SlowThreshold()
        for number in range(64):
            threshold.add_baseline(10.0 + number % 3)
        self.assertFalse(threshold.is_slow(14.0))
        self.assertTrue(threshold.is_slow(30.0))
