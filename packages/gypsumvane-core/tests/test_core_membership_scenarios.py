"""Scenarios with two simultaneous faults, which random steps rarely reach."""

from __future__ import annotations

import unittest
from random import Random

from gypsumvane_core.authority_grade import AuthorityGrade
from membership_world import LIMITS
from membership_world import SimulatedCluster
from membership_world import SimulatedDaemon

FORMING_S = 12


def form_cluster(
    seed: int, count: int
) -> tuple[SimulatedCluster, list[SimulatedDaemon]]:
    """Return a cluster that has formed a view, and its daemons in view order."""
    cluster = SimulatedCluster(Random(seed))
    for number in range(count):
        cluster.start(f"vm-{number}")
    cluster.advance(FORMING_S)
    view = cluster.daemons[0].state.view
    assert view is not None
    by_vm = {daemon.vm_id: daemon for daemon in cluster.daemons}
    return cluster, [by_vm[member.vm_id] for member in view.members]


def partition(
    cluster: SimulatedCluster, daemon: SimulatedDaemon, *others: SimulatedDaemon
) -> None:
    """Partition a daemon from others."""
    for other in others:
        cluster.partitioned_links.add(frozenset((daemon.vm_id, other.vm_id)))


def stored_member(cluster: SimulatedCluster, daemon: SimulatedDaemon) -> bool:
    """Return whether the stored view contains the process."""
    view = cluster.store.view
    return view is not None and view.has(daemon.state.own.incarnation)


def full_homes(cluster: SimulatedCluster) -> dict[str, int]:
    """Count the daemons with full authority over each leaf."""
    running = cluster.running()
    return {
        leaf: sum(d.state.grade(leaf) is AuthorityGrade.FULL for d in running)
        for leaf in LIMITS
    }


class MembershipScenarioTest(unittest.TestCase):
    """Check limits at every tick; the cluster raises when one is exceeded."""

    def test_leaving_home_is_partitioned_before_it_learns_the_view(self) -> None:
        """Guard against a takeover wait shorter than validity plus longest call."""
        for seed in range(40):
            cluster, daemons = form_cluster(seed, 3)
            leaving = daemons[1 + seed % 2]
            cluster.leave(leaving)
            cluster.advance(0.2 + (seed % 20) * 0.2)
            leaving.store_partitioned = True
            partition(cluster, leaving, *daemons)
            cluster.advance(10)

    def test_joined_daemon_does_not_act_while_older_members_may_confirm(self) -> None:
        """Guard against a joiner that acts while members lack the view adding it."""
        for seed in range(30):
            cluster, (writer, *others) = form_cluster(seed, 3)
            cluster.start("vm-9")
            joiner = cluster.daemons[-1]
            for other in others:
                other.store_partitioned = True
                partition(cluster, other, writer, joiner)
            while not stored_member(cluster, joiner):
                cluster.advance(0.1)
            cluster.remove_vm(writer)
            cluster.advance(20)

    def test_partitioned_daemon_outlives_all_members_of_its_view(self) -> None:
        """Guard against a daemon that confirms its old view on its own."""
        for seed in range(10):
            cluster, (first, second, third) = form_cluster(seed, 3)
            third.store_partitioned = True
            partition(cluster, third, first, second)
            for number, lost in enumerate((first, second)):
                cluster.start(f"vm-new-{number}")
                partition(cluster, third, cluster.daemons[-1])
                cluster.advance(15)
                cluster.remove_vm(lost)
                cluster.advance(10)
            self.assertIsNot(third.state.grade("portal"), AuthorityGrade.FULL)

    def test_two_daemons_that_are_partitioned_together(self) -> None:
        """Guard against a minority of the members that confirms an old view."""
        for seed in range(5):
            cluster, daemons = form_cluster(seed, 5)
            pair, others = daemons[3:], daemons[:3]
            for daemon in pair:
                daemon.store_partitioned = True
                partition(cluster, daemon, *others)
            cluster.advance(15)
            self.assertEqual(len(others[0].state.live_members()), 3)

    def test_first_member_without_store(self) -> None:
        """Guard against removals that wait for a first member without store access."""
        cluster, (first, second, third) = form_cluster(1, 3)
        first.store_partitioned = True
        cluster.remove_vm(third)
        cluster.advance(20)
        self.assertEqual(len(second.state.live_members()), 2)
        assert cluster.store.view is not None
        self.assertFalse(cluster.store.view.has(third.state.own.incarnation))

    def test_all_daemons_restart_during_a_store_outage(self) -> None:
        """Guard against restarted processes that never form a view again."""
        cluster, daemons = form_cluster(1, 3)
        cluster.store.up = False
        cluster.advance(3)
        for daemon in daemons:
            cluster.kill(daemon)
            cluster.start(daemon.vm_id)
            cluster.advance(4)
        cluster.store.up = True
        cluster.advance(30)
        self.assertEqual(set(full_homes(cluster).values()), {1})

    def test_paused_home_is_replaced_and_resumes(self) -> None:
        """Guard against a resumed home that trusts its old confirmation."""
        for seed in range(10):
            cluster, daemons = form_cluster(seed, 3)
            paused = daemons[seed % 3]
            paused.paused = True
            cluster.advance(5 + seed)
            cluster.resume(paused)
            cluster.advance(12)
            self.assertEqual(set(full_homes(cluster).values()), {1})
