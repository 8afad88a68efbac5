"""Stateful test: all daemons together never exceed the limit of a leaf."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from gypsumvane_core.authority_grade import AuthorityGrade
from membership_world import DOMAINS
from membership_world import LIMITS
from membership_world import TICK_S
from membership_world import SimulatedCluster
from membership_world import SimulatedDaemon

if TYPE_CHECKING:
    from collections.abc import Iterable

VMS_MAX = 5
RECOVERY_S = 60
CONFIRM_TICKS = 50
INDEX = st.integers(min_value=0, max_value=VMS_MAX - 1)


class MembershipMachine(RuleBasedStateMachine):
    """Start, stop, pause and partition daemons and make the store unavailable."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster: SimulatedCluster
        self.vm_count = 0

    @initialize(seed=st.integers(min_value=0, max_value=2**32), size=INDEX)
    def form(self, seed: int, size: int) -> None:
        self.cluster = SimulatedCluster(Random(seed))
        for _ in range(size + 1):
            self.add_vm()
        self.cluster.advance(12)

    @rule(seconds=st.sampled_from((0.2, 0.5, 1, 2, 4, 8)))
    def wait(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @precondition(lambda self: len(self.cluster.living()) < VMS_MAX)
    @rule()
    def add_vm(self) -> None:
        self.vm_count += 1
        self.cluster.start(f"vm-{self.vm_count}")

    @rule(index=INDEX)
    def restart(self, index: int) -> None:
        daemon = self.pick(self.cluster.running(), index)
        if daemon is not None:
            self.cluster.kill(daemon)
            self.cluster.start(daemon.vm_id)

    @rule(index=INDEX, listed=st.booleans())
    def kill(self, index: int, listed: bool) -> None:
        daemon = self.pick(self.cluster.living(), index)
        if daemon is not None:
            end = self.cluster.kill if listed else self.cluster.remove_vm
            end(daemon)

    @rule(index=INDEX)
    def pause(self, index: int) -> None:
        daemon = self.pick(self.cluster.running(), index)
        if daemon is not None:
            daemon.paused = True

    @rule(index=INDEX)
    def resume(self, index: int) -> None:
        daemon = self.pick((d for d in self.cluster.living() if d.paused), index)
        if daemon is not None:
            self.cluster.resume(daemon)

    @rule(index=INDEX)
    def leave(self, index: int) -> None:
        daemon = self.pick(self.cluster.running(), index)
        if daemon is not None:
            self.cluster.leave(daemon)

    @rule(first=INDEX, second=INDEX)
    def toggle_link(self, first: int, second: int) -> None:
        one = self.pick(self.cluster.living(), first)
        other = self.pick(self.cluster.living(), second)
        if one is not None and other is not None:
            self.cluster.partitioned_links ^= {frozenset((one.vm_id, other.vm_id))}

    @rule(index=INDEX)
    def isolate(self, index: int) -> None:
        daemon = self.pick(self.cluster.living(), index)
        for other in self.cluster.living() if daemon is not None else ():
            self.cluster.partitioned_links.add(frozenset((daemon.vm_id, other.vm_id)))

    @rule()
    def toggle_store(self) -> None:
        self.cluster.store.up = not self.cluster.store.up

    @rule(domain=st.sampled_from(DOMAINS))
    def toggle_domain(self, domain: str) -> None:
        self.cluster.out_domains ^= {domain}

    @rule(index=INDEX)
    def toggle_store_link(self, index: int) -> None:
        daemon = self.pick(self.cluster.living(), index)
        if daemon is not None:
            daemon.store_partitioned = not daemon.store_partitioned

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    def teardown(self) -> None:
        """Check that the remaining daemons take all leaves once the faults end."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.cluster.refresh_list()
        self.cluster.advance(RECOVERY_S)
        staying = [d for d in self.cluster.living() if d.state.leaving_since_s is None]
        # Slow messages may interrupt the confirmation for a moment.
        missing = set(LIMITS) if staying else set()
        for _ in range(CONFIRM_TICKS):
            self.cluster.advance(TICK_S)
            for leaf in LIMITS:
                grades = [d.state.grade(leaf) for d in staying]
                if grades.count(AuthorityGrade.FULL) == 1:
                    missing.discard(leaf)
        assert not missing, missing

    @staticmethod
    def pick(daemons: Iterable[SimulatedDaemon], index: int) -> SimulatedDaemon | None:
        present = list(daemons)
        return present[index % len(present)] if present else None


class MembershipSafetyTest(unittest.TestCase):
    """Guard against two homes that together exceed the limit of a leaf."""

    def test_limits_hold_under_faults(self) -> None:
        run_state_machine_as_test(
            MembershipMachine,
            settings=settings(
                max_examples=40,
                stateful_step_count=30,
                deadline=None,
                derandomize=True,
                database=None,
            ),
        )
