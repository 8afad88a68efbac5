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

from gypsumvane_core.grade import Grade
from membership_world import DOMAINS
from membership_world import LIMITS
from membership_world import TICK_S
from membership_world import SimDaemon
from membership_world import World

if TYPE_CHECKING:
    from collections.abc import Iterable

VMS_MAX = 5
RECOVERY_S = 60
CONFIRM_TICKS = 50
INDEX = st.integers(min_value=0, max_value=VMS_MAX - 1)


class MembershipMachine(RuleBasedStateMachine):
    """Start, stop, pause and partition daemons and take the store away."""

    def __init__(self) -> None:
        super().__init__()
        self.world: World
        self.vm_count = 0

    @initialize(seed=st.integers(min_value=0, max_value=2**32), size=INDEX)
    def form(self, seed: int, size: int) -> None:
        self.world = World(Random(seed))
        for _ in range(size + 1):
            self.add_vm()
        self.world.advance(12)

    @rule(seconds=st.sampled_from((0.2, 0.5, 1, 2, 4, 8)))
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @precondition(lambda self: len(self.world.living()) < VMS_MAX)
    @rule()
    def add_vm(self) -> None:
        self.vm_count += 1
        self.world.start(f"vm-{self.vm_count}")

    @rule(index=INDEX)
    def restart(self, index: int) -> None:
        daemon = self.pick(self.world.running(), index)
        if daemon is not None:
            self.world.kill(daemon)
            self.world.start(daemon.vm_id)

    @rule(index=INDEX, listed=st.booleans())
    def kill(self, index: int, listed: bool) -> None:
        daemon = self.pick(self.world.living(), index)
        if daemon is not None:
            end = self.world.kill if listed else self.world.remove_vm
            end(daemon)

    @rule(index=INDEX)
    def pause(self, index: int) -> None:
        daemon = self.pick(self.world.running(), index)
        if daemon is not None:
            daemon.paused = True

    @rule(index=INDEX)
    def resume(self, index: int) -> None:
        daemon = self.pick((d for d in self.world.living() if d.paused), index)
        if daemon is not None:
            self.world.resume(daemon)

    @rule(index=INDEX)
    def leave(self, index: int) -> None:
        daemon = self.pick(self.world.running(), index)
        if daemon is not None:
            self.world.leave(daemon)

    @rule(first=INDEX, second=INDEX)
    def toggle_link(self, first: int, second: int) -> None:
        one = self.pick(self.world.living(), first)
        other = self.pick(self.world.living(), second)
        if one is not None and other is not None:
            self.world.cut_links ^= {frozenset((one.vm_id, other.vm_id))}

    @rule(index=INDEX)
    def isolate(self, index: int) -> None:
        daemon = self.pick(self.world.living(), index)
        for other in self.world.living() if daemon is not None else ():
            self.world.cut_links.add(frozenset((daemon.vm_id, other.vm_id)))

    @rule()
    def toggle_store(self) -> None:
        self.world.store.up = not self.world.store.up

    @rule(domain=st.sampled_from(DOMAINS))
    def toggle_domain(self, domain: str) -> None:
        self.world.out_domains ^= {domain}

    @rule(index=INDEX)
    def toggle_store_link(self, index: int) -> None:
        daemon = self.pick(self.world.living(), index)
        if daemon is not None:
            daemon.store_cut = not daemon.store_cut

    @rule()
    def heal(self) -> None:
        self.world.heal()

    def teardown(self) -> None:
        """Check that the survivors take all leaves once the faults end."""
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.settle_list()
        self.world.advance(RECOVERY_S)
        staying = [d for d in self.world.living() if d.state.leaving_since_s is None]
        # Slow messages may take the confirmation away for a moment.
        missing = set(LIMITS) if staying else set()
        for _ in range(CONFIRM_TICKS):
            self.world.advance(TICK_S)
            for leaf in LIMITS:
                grades = [d.state.grade(leaf) for d in staying]
                if grades.count(Grade.FULL) == 1:
                    missing.discard(leaf)
        assert not missing, missing

    @staticmethod
    def pick(daemons: Iterable[SimDaemon], index: int) -> SimDaemon | None:
        present = list(daemons)
        return present[index % len(present)] if present else None


class MembershipSafetyTest(unittest.TestCase):
    """Guard against two homes that exceed a leaf's limit together."""

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
