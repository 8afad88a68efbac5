"""Tests of the registry of leaves."""

from __future__ import annotations

import unittest
from dataclasses import replace

from gypsumvane_core.routing.change_period import ChangePeriod
from gypsumvane_core.routing.leaf_registry import LEAVING_LEAF_GRACE_S
from gypsumvane_core.routing.leaf_registry import LeafEntry
from gypsumvane_core.routing.leaf_registry import LeafRegistry

# Time after which a draining leaf must get no more requests, by the users' rules.
DRAIN_S = 3.0


def leaf(name: str, **fields: object) -> LeafEntry:
    """Return a ready leaf of service ``s`` in failure domain ``a``."""
    entry = LeafEntry(
        leaf_id=name, service="s", address=f"10.0.0.1:{name}", failure_domain="a"
    )
    return replace(entry, **fields)  # type: ignore[arg-type]


class LeafRegistryTest(unittest.TestCase):
    """Check which leaves are eligible for requests."""

    def setUp(self) -> None:
        self.registry = LeafRegistry()
        self.registry.replace([leaf("1"), leaf("2")], 0.0, ChangePeriod())

    def eligible(self, now_s: float, service: str = "s") -> set[str]:
        """Return the names of the eligible leaves."""
        return {entry.leaf_id for entry in self.registry.eligible(service, now_s)}

    def test_leaf_that_says_that_it_leaves(self) -> None:
        """Guard against an older registration that makes a leaving leaf ready (DRAIN).

        A new start of the leaf is another incarnation.
        """
        one = next(e for e in self.registry.entries() if e.leaf_id == "1")
        self.assertTrue(self.registry.mark_leaving(one, 10.0))
        self.assertFalse(self.registry.mark_leaving(one, 11.0))
        self.assertEqual(self.eligible(10.0), {"2"})
        self.registry.put(leaf("1", slots=2), 11.0)
        self.registry.replace([leaf("1")], 11.0, ChangePeriod())
        self.assertEqual(self.eligible(12.0), {"1"})
        self.assertEqual(self.eligible(12.3), set())
        self.registry.put(leaf("1", slots=3), 13.0)
        self.assertEqual(self.eligible(13.0), set())
        self.registry.put(leaf("1", started_unix_ms=5), 14.0)
        self.assertEqual(self.eligible(14.0), {"1"})

    def test_late_report_does_not_revive_a_leaf(self) -> None:
        """Guard against a report from before a drain that arrives after it (DRAIN)."""
        self.registry.put(leaf("3", started_unix_ms=5, sequence=7), 1.0)
        draining = leaf("3", started_unix_ms=5, sequence=8, draining=True)
        self.assertTrue(self.registry.put(draining, 2.0))
        late = leaf("3", started_unix_ms=5, sequence=7)
        self.assertFalse(self.registry.put(late, 6.0))
        self.registry.replace([leaf("1"), late], 6.0, ChangePeriod(5.0))
        self.assertNotIn("3", self.eligible(6.0))
        # Its next start counts anew.
        self.assertTrue(self.registry.put(replace(late, started_unix_ms=6), 7.0))
        self.assertIn("3", self.eligible(7.0))

    def test_older_copy_does_not_revive_a_leaf_that_is_gone(self) -> None:
        """Guard against a store that comes back from a copy with a leaf that left."""
        entry = leaf("3", started_unix_ms=5, sequence=7)
        self.registry.put(entry, 1.0)
        self.registry.remove("3", 2.0, ChangePeriod(1.5))
        self.assertNotIn("3", self.eligible(2.0 + DRAIN_S))
        older = replace(entry, sequence=6)
        self.assertFalse(self.registry.put(older, 8.0))
        self.assertNotIn("3", self.eligible(8.0))
        # A leaf that lives reports on.
        self.assertTrue(self.registry.put(replace(entry, sequence=9), 9.0))
        self.assertIn("3", self.eligible(9.0))

    def test_draining_leaf_is_avoided_at_once(self) -> None:
        """Guard against requests to a draining leaf while others are ready."""
        self.registry.put(leaf("1", draining=True), 10.0)
        self.assertEqual(self.eligible(10.0), {"2"})

    def test_last_draining_leaves_are_eligible_for_a_limited_time(self) -> None:
        """Guard against requests after the leaf has stopped to serve."""
        for name in "12":
            self.registry.put(leaf(name, draining=True), 10.0)
        self.assertEqual(self.eligible(10.1), {"1", "2"})
        self.registry.put(leaf("1", draining=True, slots=2), 12.0)
        self.assertEqual(self.eligible(10.0 + LEAVING_LEAF_GRACE_S), set())
        self.assertLess(LEAVING_LEAF_GRACE_S, DRAIN_S)

    def test_grace_ends_with_the_time_that_a_leaf_serves(self) -> None:
        """Guard against a grace that counts from the arrival of old news (DRAIN)."""
        period = ChangePeriod(begin_s=8.0)
        one = next(e for e in self.registry.entries() if e.leaf_id == "1")
        changes = {
            "draining": lambda: self.registry.put(
                leaf("1", draining=True), 10.0, period
            ),
            "gone": lambda: self.registry.remove("1", 10.0, period),
            "not listed": lambda: self.registry.replace([], 10.0, period),
            "listed as draining": lambda: self.registry.replace(
                [leaf("1", draining=True)], 10.0, period
            ),
            "draining after it said that it leaves": lambda: (
                self.registry.mark_leaving(one, 9.9),
                self.registry.put(leaf("1", draining=True), 10.0, period),
            ),
        }
        for name, change in changes.items():
            with self.subTest(name):
                self.registry.replace([leaf("1")], 0.0, ChangePeriod())
                change()
                self.assertEqual(self.eligible(10.0), {"1"})
                self.assertEqual(self.eligible(8.0 + DRAIN_S), set())
                self.setUp()

    def test_drained_leaf_whose_entry_returns(self) -> None:
        """Guard against a new grace for a leaf that drained long ago (DRAIN).

        Its entry expired during an outage of the store and is back.
        """
        outage = ChangePeriod(begin_s=10.0, after_outage=True)
        for gone in (
            lambda: self.registry.remove("1", 20.0, outage),
            lambda: self.registry.replace([], 20.0, outage),
        ):
            self.setUp()
            self.registry.put(leaf("1", draining=True), 10.0)
            gone()
            self.registry.remove("2", 20.0, ChangePeriod())
            self.registry.put(leaf("1", draining=True), 21.0, ChangePeriod(20.0))
            self.assertNotIn("1", self.eligible(21.0))

    def test_drained_leaves_are_not_kept_for_good(self) -> None:
        """Guard against memory for each leaf that has ever drained."""
        self.registry.put(leaf("1", draining=True), 10.0)
        self.registry.replace([leaf("2")], 20.0, ChangePeriod(begin_s=19.0))
        self.assertEqual([e.leaf_id for e in self.registry.entries()], ["2"])

    def test_leaf_whose_entry_expired_returns(self) -> None:
        """Guard against an outage of a service whose entries expire with the store."""
        for name in "12":
            self.registry.remove(name, 10.0)
        self.assertEqual(self.eligible(11.0), {"1", "2"})
        self.registry.put(leaf("1"), 11.5)
        self.assertEqual(self.eligible(11.5), {"1"})
        self.assertEqual(self.eligible(20.0), {"1"})

    def test_removed_leaf_is_dropped_after_its_grace(self) -> None:
        """Guard against a leaf that stays listed after its grace."""
        self.registry.remove("1", 10.0)
        self.assertEqual(self.eligible(20.0), {"2"})
        self.assertEqual([e.leaf_id for e in self.registry.entries()], ["2"])

    def test_list_without_grace_drops_at_once(self) -> None:
        """Guard against leaves that left while the registry got no changes."""
        self.registry.replace([leaf("2")], 10.0, ChangePeriod())
        self.assertEqual(self.eligible(10.0), {"2"})
        self.registry.replace([leaf("2", draining=True)], 11.0, ChangePeriod())
        self.assertEqual(self.eligible(11.0), set())

    def test_list_after_an_outage_keeps_missing_leaves(self) -> None:
        """Guard against dropping leaves that register again seconds later."""
        self.registry.replace([], 10.0, ChangePeriod(after_outage=True))
        self.assertEqual(self.eligible(10.5), {"1", "2"})

    def test_older_incarnation_is_ignored(self) -> None:
        """Guard against a delayed entry of an earlier start of the leaf."""
        self.registry.put(leaf("1", started_unix_ms=9, address="10.0.0.9:1"), 10.0)
        self.registry.put(leaf("1", started_unix_ms=5, draining=True), 11.0)
        self.assertEqual(self.eligible(11.0), {"1", "2"})

    def test_misdirected_leaf_is_dropped_until_it_changes(self) -> None:
        """Guard against requests to an address that another leaf has taken."""
        self.registry.remove_misdirected(leaf("1"))
        self.assertEqual(self.eligible(10.0), {"2"})
        self.registry.put(leaf("1", address="10.0.0.7:1"), 11.0)
        self.registry.remove_misdirected(leaf("1"))
        self.assertEqual(self.eligible(11.0), {"1", "2"})

    def test_evacuated_domain(self) -> None:
        """Guard against requests to a failure domain that operators evacuated."""
        self.registry.put(leaf("3", failure_domain="b"), 1.0)
        self.registry.set_domains_out({"a"})
        self.assertEqual(self.eligible(2.0), {"3"})
        self.registry.remove("3", 3.0)
        self.assertEqual(self.eligible(3.0), {"3"})
        self.registry.set_domains_out({"a", "b"})
        self.assertEqual(self.eligible(3.0), set())
        self.registry.set_domains_out(())
        self.assertEqual(self.eligible(4.0), {"1", "2"})

    def test_cold_leaf(self) -> None:
        """Guard against a cold leaf that is treated as warm."""
        cold = leaf("1", warmup_left_ms=3000)
        self.registry.put(cold, 10.0)
        self.assertTrue(self.registry.is_cold(cold, 12.9))
        self.assertFalse(self.registry.is_cold(cold, 13.0))
        self.assertFalse(self.registry.is_cold(leaf("2"), 10.0))

    def test_leaf_that_changes_service(self) -> None:
        """Guard against requests of the service that the leaf has left."""
        self.registry.put(leaf("1", service="t"), 10.0)
        self.assertEqual(self.eligible(10.0), {"2"})
        self.assertEqual(self.eligible(10.0, "t"), {"1"})
