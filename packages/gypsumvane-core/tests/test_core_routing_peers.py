"""Tests of the peer table and the selection of entry daemons."""

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

# Time after which callers must not be given the address of a VM that is gone.
GONE_S = 7.0


def daemon(
    name: str, failure_domain: str = "a", capacity_cores: float = 1.0
) -> DaemonRecord:
    """Return the record of a daemon."""
    return DaemonRecord(name, failure_domain, f"{name}:1", f"{name}:2", capacity_cores)


class EntrySelectionTest(unittest.TestCase):
    """Check which daemons are entry daemons and how they share limits."""

    def test_small_daemons_are_left_out(self) -> None:
        """Guard against answers that are merged on a slow VM."""
        large = [daemon(f"l{n}", capacity_cores=2.15) for n in range(8)]
        small = [daemon(f"s{n}", capacity_cores=0.5) for n in range(74)]
        self.assertEqual(set(select_entries(small + large)), set(large))

    def test_small_daemons_serve_when_few_are_large(self) -> None:
        """Guard against too few entry daemons after the loss of one."""
        records = [daemon("l", capacity_cores=4.0), daemon("s"), daemon("t")]
        self.assertEqual(set(select_entries(records)), set(records))
        many = [daemon("l", capacity_cores=4.0)] + [daemon(f"s{n}") for n in range(9)]
        self.assertEqual(len(select_entries(many)), ENTRY_DAEMONS_MIN)
        self.assertEqual(select_entries([]), [])

    def test_shares_of_all_daemons_add_up(self) -> None:
        """Guard against a fleet that exceeds a fleet-wide limit."""
        entries = [daemon(f"l{n}") for n in range(8)]
        names = [f"l{n}" for n in range(8)] + [f"s{n}" for n in range(74)]
        total = sum(limit_share(name, entries, len(names)) for name in names)
        self.assertAlmostEqual(total, 1.0)
        self.assertAlmostEqual(limit_share("l0", entries, 8), 1 / 8)
        self.assertEqual(limit_share("x", [], 0), 1.0)


class PeerTableTest(unittest.TestCase):
    """Check hubs, and which peers count as serving."""

    def setUp(self) -> None:
        self.table = PeerTable(daemon("m", capacity_cores=1.0))

    def record_ping(
        self, record: DaemonRecord, now_s: float, *, serving: bool = True
    ) -> None:
        """Record a ping of a daemon."""
        self.table.record_ping(record, serving=serving, now_s=now_s)

    def serving(self, now_s: float) -> set[str]:
        """Return the names of the peers that serve."""
        return {entry.record.name for entry in self.table.serving(now_s)}

    def relays(self, now_s: float) -> list[str]:
        """Return the names of the hubs that this daemon reads from."""
        return [record.name for record in self.table.relays(now_s)]

    def ping_targets(self, now_s: float) -> set[str]:
        """Return the names of the daemons that are pinged."""
        return {record.name for record in self.table.ping_targets(now_s)}

    def test_daemon_without_callers_knows_it_by_capacity(self) -> None:
        """Guard against small daemons that read all objects before the entries."""
        self.assertTrue(self.table.may_be_entry(0.0))
        for number in range(ENTRY_DAEMONS_MIN):
            self.table.add_reported(daemon(f"l{number}", capacity_cores=4.0), 0.0)
        self.assertFalse(self.table.may_be_entry(1.0))
        self.assertTrue(self.table.may_be_entry(PEER_LOST_S))

    def test_remote_hubs_are_known_by_reports_of_hubs(self) -> None:
        """Guard against a daemon that knows no source outside its failure domain."""
        hub = daemon("h", capacity_cores=4.0)
        self.record_ping(hub, 0.0)
        reported = [daemon("b1", "b", 2.0), daemon("b2", "b", 4.0), daemon("c1", "c")]
        self.table.record_hub_report(
            "h", [ServingDaemon(record, 0.5) for record in (*reported, hub)], 0.0
        )
        names = {record.name for record in self.table.remote_hubs(1.0)}
        self.assertEqual(names, {"b2", "c1"})
        self.assertEqual(self.table.remote_hubs(HUB_REPORT_VALID_S), [])

    def test_only_peers_that_pinged_and_serve_are_listed(self) -> None:
        self.table.add_reported(daemon("stored"), 0.0)
        self.record_ping(daemon("b"), 0.0)
        self.record_ping(daemon("c"), 0.0, serving=False)
        self.record_ping(daemon("m"), 0.0)
        self.assertEqual(self.serving(0.1), {"b"})

    def test_silent_peer_is_not_listed(self) -> None:
        """Guard against callers that get the address of a VM that is gone."""
        self.record_ping(daemon("b"), 0.0)
        self.assertEqual(self.serving(PEER_SILENT_S), set())
        named = [ServingDaemon(daemon("b"), PEER_SILENT_S)]
        self.table.record_hub_report("hub", named, 3.0)
        self.assertEqual(self.serving(3.0), {"b"})
        self.assertEqual(self.serving(3.0 + HUB_REPORT_VALID_S - PEER_SILENT_S), set())
        self.assertLess(PEER_SILENT_S + HUB_REPORT_VALID_S, GONE_S)

    def test_peer_that_refuses_connections_is_removed_at_once(self) -> None:
        self.record_ping(daemon("b"), 0.0)
        self.table.mark_unreachable("b")
        self.assertEqual(self.serving(0.1), set())
        self.record_ping(daemon("b"), 1.0)
        self.assertEqual(self.serving(1.0), {"b"})

    def test_latest_report_of_a_hub_replaces_earlier_ones(self) -> None:
        self.table.record_hub_report("hub", [ServingDaemon(daemon("x", "b"), 0.0)], 1.0)
        self.table.record_hub_report("hub", [ServingDaemon(daemon("y", "b"), 0.0)], 1.5)
        self.assertEqual(self.serving(1.5), {"y"})

    def test_largest_daemons_of_a_domain_are_its_hubs(self) -> None:
        self.assertTrue(self.table.is_hub(0.0))
        self.assertEqual(self.relays(0.0), [])
        for name, capacity in (("z", 3.0), ("y", 2.0), ("x", 0.5)):
            self.record_ping(daemon(name, capacity_cores=capacity), 0.0)
        self.assertEqual(self.relays(0.1), ["z", "y"])
        self.assertFalse(self.table.is_hub(0.1))
        self.assertEqual(self.ping_targets(0.1), {"z", "y"})

    def test_silent_hub_is_replaced_but_still_pinged(self) -> None:
        """Guard against a failure domain that reads from a hub that is gone."""
        for name in ("z", "y"):
            self.record_ping(daemon(name, capacity_cores=3.0), 0.0)
        self.assertEqual(self.relays(PEER_SILENT_S), [])
        self.assertEqual(self.ping_targets(PEER_SILENT_S), {"z", "y"})
        self.assertEqual(self.ping_targets(PEER_LOST_S), set())

    def test_peer_that_was_only_reported_is_present_for_a_while(self) -> None:
        self.table.add_reported(daemon("z", capacity_cores=3.0), 0.0)
        self.assertEqual(self.relays(0.1), ["z"])
        self.assertEqual(self.relays(REPORTED_VALID_S), [])

    def test_hubs_ping_the_hubs_of_all_domains(self) -> None:
        for failure_domain in "abcd":
            for number in range(20):
                self.table.add_reported(
                    daemon(f"{failure_domain}{number}", failure_domain, 0.1), 0.0
                )
        targets = self.ping_targets(0.1)
        self.assertLessEqual(len(targets), 4 * HUBS_PER_DOMAIN)
        self.assertEqual({name[0] for name in targets}, set("abcd"))

    def test_present_peers_that_serve_come_first(self) -> None:
        self.record_ping(daemon("b"), 0.0, serving=False)
        self.record_ping(daemon("c", "z"), 0.0)
        names = [record.name for record in self.table.present(0.1)]
        self.assertEqual(names, ["c", "b"])
        self.assertEqual(self.table.present(PEER_SILENT_S), [])

    def test_limits_are_divided_among_all_daemons_that_may_run(self) -> None:
        """Guard against shares that grow while a peer runs behind a cut link."""
        self.record_ping(daemon("b"), 0.0)
        self.table.add_reported(daemon("c"), 0.0)
        self.assertEqual(self.table.fleet_size(PEER_SILENT_S), 3)
        self.assertEqual(self.table.fleet_size(PEER_LOST_S), 1)
