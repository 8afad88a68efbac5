"""Transition tables of the state machines, read from the code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from transitions import Machine

from gypsumvane_core import booking_machine
from gypsumvane_core import life_cycle
from gypsumvane_core import move_transitions
from gypsumvane_core import upstream_state
from gypsumvane_core.booking_machine import BookingState
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.life_cycle import LifeState
from gypsumvane_core.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from enum import Enum


@dataclass(frozen=True, slots=True)
class StateTable:
    """List the next state for each event and state."""

    states: list[str]
    # Next state by event, then state; pairs that do not apply are missing.
    events: dict[str, dict[str, str]]


def upstream_table() -> StateTable:
    """Return the states of an upstream at its home."""
    return _from_tuples(UpstreamState, upstream_state.TRANSITIONS)


def move_table() -> StateTable:
    """Return the states of a version move."""
    return _from_tuples(MoveState, move_transitions.TRANSITIONS)


def life_cycle_table() -> StateTable:
    """Return the states of a daemon."""
    machine = Machine(
        states=LifeState,
        transitions=life_cycle.TRANSITIONS,
        initial=LifeState.STARTING,
        auto_transitions=False,
    )
    # The machine names the members of an enumeration, not their values.
    names = {state.name: state.value for state in LifeState}
    return _from_machine(machine, names)


def booking_table() -> StateTable:
    """Return the states of one attempt of a non-idempotent request."""
    names = {state.value: state.value for state in BookingState}
    machine = Machine(
        states=list(names),
        transitions=booking_machine.TRANSITIONS,
        initial=BookingState.NEW.value,
        auto_transitions=False,
    )
    return _from_machine(machine, names)


def _from_tuples(
    states: type[Enum], rows: Iterable[tuple[Enum, tuple[Enum, ...], Enum]]
) -> StateTable:
    events: dict[str, dict[str, str]] = {}
    for event, sources, target in rows:
        next_states = events.setdefault(event.value, {})
        next_states.update({source.value: target.value for source in sources})
    return StateTable([state.value for state in states], events)


def _from_machine(machine: Machine, names: dict[str, str]) -> StateTable:
    events: dict[str, dict[str, str]] = {}
    for event, definition in machine.events.items():
        events[event] = {
            names[source]: names[choices[0].dest]
            for source, choices in definition.transitions.items()
            if choices and choices[0].dest is not None
        }
    return StateTable(list(names.values()), events)
