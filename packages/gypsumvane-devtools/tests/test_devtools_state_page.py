"""Tests that the page of state machines agrees with the code."""

from __future__ import annotations

import unittest
from pathlib import Path

from gypsumvane_core.booking_machine import BookingAttempt
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.life_cycle import LifeCycle
from gypsumvane_core.life_cycle import LifeState
from gypsumvane_core.move_transitions import is_allowed_transition
from gypsumvane_core.upstream_state import UpstreamEvent
from gypsumvane_core.upstream_state import UpstreamState
from gypsumvane_core.upstream_state import UpstreamStateMachine
from gypsumvane_devtools.state_page import page
from gypsumvane_devtools.state_page import sections
from gypsumvane_devtools.state_tables import booking_table
from gypsumvane_devtools.state_tables import life_cycle_table
from gypsumvane_devtools.state_tables import move_table
from gypsumvane_devtools.state_tables import upstream_table

PAGE = Path(__file__).parents[3] / "docs" / "state-machines.md"


class StatePageTest(unittest.TestCase):
    """Compare the page with the machines."""

    def test_page_is_current(self) -> None:
        """Guard against a changed transition that the page does not show."""
        self.assertEqual(page(), PAGE.read_text(encoding="utf-8"))

    def test_no_meaning_without_event(self) -> None:
        """Guard against the description of an event that no longer exists."""
        for section in sections():
            with self.subTest(section=section.title):
                self.assertEqual(set(section.meanings), set(section.table.events))


class StateTableTest(unittest.TestCase):
    """Compare the tables with what the machines do."""

    def test_upstream(self) -> None:
        """Guard against a table that differs from the upstream machine."""
        table = upstream_table()
        for state in UpstreamState:
            for event in UpstreamEvent:
                with self.subTest(state=state, event=event):
                    machine = UpstreamStateMachine()
                    machine.state = state
                    machine._machine.set_state(state.value)
                    machine.apply(event)
                    expected = table.events[event].get(state, state)
                    self.assertEqual(machine.state, expected)

    def test_life_cycle(self) -> None:
        """Guard against a table that differs from the life cycle."""
        table = life_cycle_table()
        for state in LifeState:
            cycle = LifeCycle(lambda _: None)
            for event, next_states in table.events.items():
                with self.subTest(state=state, event=event):
                    cycle._machine.set_state(state)
                    may = getattr(cycle, f"may_{event}")()
                    self.assertEqual(may, state.value in next_states)
                    if may:
                        cycle.apply(event)
                        self.assertEqual(cycle.state.value, next_states[state.value])

    def test_booking(self) -> None:
        """Guard against a table that differs from the booking machine."""
        table = booking_table()
        for state in table.states:
            for event, next_states in table.events.items():
                with self.subTest(state=state, event=event):
                    booking = BookingAttempt()
                    booking.state = state
                    may = getattr(booking, f"may_{event}")()
                    self.assertEqual(may, state in next_states)
                    if may:
                        getattr(booking, event)()
                        self.assertEqual(booking.state, next_states[state])

    def test_move(self) -> None:
        """Guard against a table that differs from the check of a revision."""
        table = move_table()
        for old in MoveState:
            allowed = {next_states.get(old) for next_states in table.events.values()}
            for new in MoveState:
                with self.subTest(old=old, new=new):
                    expected = old is new or new in allowed
                    self.assertEqual(is_allowed_transition(old, new), expected)
