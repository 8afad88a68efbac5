"""Tests of the assignment of homes."""

from __future__ import annotations

import unittest
from random import Random

from gypsumvane_core.assignment import preferred_homes
from gypsumvane_core.home_table import HomeTable
from gypsumvane_core.messages import Member
from gypsumvane_core.view import View


def view_of(vms: list[str]) -> View:
    """Return a view whose incarnations have the names of their VMs."""
    return View(epoch=1, members=tuple(Member(vm_id=v, incarnation=v) for v in vms))


VMS = [f"vm-{n}" for n in range(7)]


class AssignmentTest(unittest.TestCase):
    """Check distribution and stability of homes."""

    def test_leaves_of_one_service_have_different_homes(self) -> None:
        """Guard against losing a whole service with a single daemon."""
        for service in range(50):
            for suffixes in (("a", "b", "c"), ("0", "1", "2"), ("01", "02", "03")):
                leaves = [f"svc{service}-{suffix}" for suffix in suffixes]
                homes = {preferred_homes(leaf, VMS)[0] for leaf in leaves}
                self.assertEqual(len(homes), 3)

    def test_fewer_members_than_leaves(self) -> None:
        """Guard against leaves without a home in a small fleet."""
        for suffix in "abc":
            homes = preferred_homes(f"svc-{suffix}", VMS[:2])
            self.assertEqual(sorted(homes), VMS[:2])

    def test_no_candidates(self) -> None:
        """Guard against an error that prevents a stop while all members leave."""
        self.assertEqual(preferred_homes("svc-b", []), [])

    def test_table_follows_views(self) -> None:
        """Guard against homes that depend on the views a daemon has seen."""
        random = Random(1)
        leaves = [f"svc{n}-{s}" for n in range(20) for s in "0123"]
        table = HomeTable(view_of(VMS))
        for _ in range(200):
            vms = random.sample(VMS, random.randint(0, len(VMS)))
            table = table.next_table(view_of(vms))
            ended = set(random.sample(VMS, random.randint(0, 2)))
            for leaf in random.sample(leaves, 60):
                ranked = [v for v in preferred_homes(leaf, vms) if v not in ended]
                home = table.home_of(leaf, ended)
                found = None if home is None else home.vm_id
                self.assertEqual(found, ranked[0] if ranked else None)

    def test_loss_of_a_member_moves_few_leaves(self) -> None:
        """Guard against an assignment that moves most leaves at each change."""
        leaves = [f"svc{service}-{s}" for service in range(200) for s in "ab"]
        moved = [
            leaf
            for leaf in leaves
            if preferred_homes(leaf, VMS)[0] != preferred_homes(leaf, VMS[1:])[0]
        ]
        self.assertLess(len(moved), len(leaves) * 0.25)
