"""Tests of what daemons know of each other."""

from __future__ import annotations

import unittest

from gypsumvane_core.routing.daemon_record import DaemonRecord
from gypsumvane_core.routing.entry_selection import ENTRY_DAEMONS_MIN
from gypsumvane_core.routing.entry_selection import limit_share
from gypsumvane_core.routing.entry_selection import select_entries
from gypsumvane_core.routing.peer_table import HUB_REPORT_VALID_S
from gypsumvane_core.routing.peer_table import HUBS_PER_DOMAIN
from gypsumvane_core.routing.peer_table import PEER_LOST_S
from gypsumvane_core.routing.peer_table import PEER_SILENT_S
from gypsumvane_core.routing.peer_table import REPORTED_VALID_S
from gypsumvane_core.routing.peer_table import PeerTable
from gypsumvane_core.routing.peer_table import ServingDaemon

# Time after which callers may not be sent to a machine that is gone.
GONE_S = 7.0


def daemon(
    name: str, failure_domain: str = "a", capacity_cores: float = 1.0
) -> DaemonRecord:
    """Return a record."""
    return DaemonRecord(name, failure_domain, f"{name}:1", f"{name}:2", capacity_cores)


class EntrySelectionTest(unittest.TestCase):
    """Check which daemons callers are sent to."""

    def test_small_daemons_are_left_out(self) -> None:
        """Guard against searches that are computed on a slow VM."""
        large = [daemon(f"l{n}", capacity_cores=2.15) for n in range(8)]
        small = [daemon(f"s{n}", capacity_cores=0.5) for n in range(74)]
        self.assertEqual(set(select_entries(small + large)), set(large))

    def test_small_daemons_serve_when_few_are_large(self) -> None:
        """Guard against callers without a daemon after a loss."""
        records = [daemon("l", capacity_cores=4.0), daemon("s"), daemon("t")]
        self.assertEqual(set(select_entries(records)), set(records))
        many = [daemon("l", capacity_cores=4.0)] + [daemon(f"s{n}") for n in range(9)]
        self.assertEqual(len(select_entries(many)), ENTRY_DAEMONS_MIN)
        self.assertEqual(select_entries([]), [])

    def test_shares_of_all_daemons_add_up(self) -> None:
        """Guard against a fleet that uses more than a common limit."""
        entries = [daemon(f"l{n}") for n in range(8)]
        names = [f"l{n}" for n in range(8)] + [f"s{n}" for n in range(74)]
        total = sum(limit_share(name, entries, len(names)) for name in names)
        self.assertAlmostEqual(total, 1.0)
        self.assertAlmostEqual(limit_share("l0", entries, 8), 1 / 8)
        self.assertEqual(limit_share("x", [], 0), 1.0)


class PeerTableTest(unittest.TestCase):
    """Check hubs, and which daemons are named to callers."""

    def setUp(self) -> None:
        self.table = PeerTable(daemon("m", capacity_cores=1.0))

    def hear(self, record: DaemonRecord, now_s: float, *, serving: bool = True) -> None:
        """Hear a daemon."""
        self.table.record_ping(record, serving=serving, now_s=now_s)

    def serving(self, now_s: float) -> set[str]:
        """Return the names of the peers that serve."""
        return {entry.record.name for entry in self.table.serving(now_s)}

    def relays(self, now_s: float) -> list[str]:
        """Return the names of the hubs that this daemon follows."""
        return [record.name for record in self.table.relays(now_s)]

    def ping_targets(self, now_s: float) -> set[str]:
        """Return the names of the daemons that are asked."""
        return {record.name for record in self.table.ping_targets(now_s)}

    def test_only_heard_peers_that_serve_are_named(self) -> None:
        self.table.add_reported(daemon("stored"), 0.0)
        self.hear(daemon("b"), 0.0)
        self.hear(daemon("c"), 0.0, serving=False)
        self.hear(daemon("m"), 0.0)
        self.assertEqual(self.serving(0.1), {"b"})

    def test_silent_peer_is_not_named(self) -> None:
        """Guard against callers that are sent to a machine that is gone."""
        self.hear(daemon("b"), 0.0)
        self.assertEqual(self.serving(PEER_SILENT_S), set())
        named = [ServingDaemon(daemon("b"), PEER_SILENT_S)]
        self.table.record_hub_report("hub", named, 3.0)
        self.assertEqual(self.serving(3.0), {"b"})
        self.assertEqual(self.serving(3.0 + HUB_REPORT_VALID_S - PEER_SILENT_S), set())
        self.assertLess(PEER_SILENT_S + HUB_REPORT_VALID_S, GONE_S)

    def test_refused_connection_counts_at_once(self) -> None:
        self.hear(daemon("b"), 0.0)
        self.table.mark_unreachable("b")
        self.assertEqual(self.serving(0.1), set())
        self.hear(daemon("b"), 1.0)
        self.assertEqual(self.serving(1.0), {"b"})

    def test_what_a_hub_told_last_replaces_the_rest(self) -> None:
        self.table.record_hub_report("hub", [ServingDaemon(daemon("x", "b"), 0.0)], 1.0)
        self.table.record_hub_report("hub", [ServingDaemon(daemon("y", "b"), 0.0)], 1.5)
        self.assertEqual(self.serving(1.5), {"y"})

    def test_largest_daemons_of_a_domain_are_its_hubs(self) -> None:
        self.assertTrue(self.table.is_hub(0.0))
        self.assertEqual(self.relays(0.0), [])
        for name, capacity in (("z", 3.0), ("y", 2.0), ("x", 0.5)):
            self.hear(daemon(name, capacity_cores=capacity), 0.0)
        self.assertEqual(self.relays(0.1), ["z", "y"])
        self.assertFalse(self.table.is_hub(0.1))
        self.assertEqual(self.ping_targets(0.1), {"z", "y"})

    def test_silent_hub_is_replaced_but_still_asked(self) -> None:
        """Guard against a failure domain that follows a hub that is gone."""
        for name in ("z", "y"):
            self.hear(daemon(name, capacity_cores=3.0), 0.0)
        self.assertEqual(self.relays(PEER_SILENT_S), [])
        self.assertEqual(self.ping_targets(PEER_SILENT_S), {"z", "y"})
        self.assertEqual(self.ping_targets(PEER_LOST_S), set())

    def test_daemon_that_was_only_named_counts_for_a_while(self) -> None:
        self.table.add_reported(daemon("z", capacity_cores=3.0), 0.0)
        self.assertEqual(self.relays(0.1), ["z"])
        self.assertEqual(self.relays(REPORTED_VALID_S), [])

    def test_hubs_ask_the_hubs_of_all_domains(self) -> None:
        for failure_domain in "abcd":
            for number in range(20):
                self.table.add_reported(
                    daemon(f"{failure_domain}{number}", failure_domain, 0.1), 0.0
                )
        targets = self.ping_targets(0.1)
        self.assertLessEqual(len(targets), 4 * HUBS_PER_DOMAIN)
        self.assertEqual({name[0] for name in targets}, set("abcd"))

    def test_present_peers_that_serve_come_first(self) -> None:
        self.hear(daemon("b"), 0.0, serving=False)
        self.hear(daemon("c", "z"), 0.0)
        names = [record.name for record in self.table.present(0.1)]
        self.assertEqual(names, ["c", "b"])
        self.assertEqual(self.table.present(PEER_SILENT_S), [])

    def test_common_limits_are_divided_by_all_that_may_send(self) -> None:
        """Guard against shares that grow while a peer is only cut off."""
        self.hear(daemon("b"), 0.0)
        self.table.add_reported(daemon("c"), 0.0)
        self.assertEqual(self.table.fleet_size(PEER_SILENT_S), 3)
        self.assertEqual(self.table.fleet_size(PEER_LOST_S), 1)
