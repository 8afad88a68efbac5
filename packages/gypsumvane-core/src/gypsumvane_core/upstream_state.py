"""State machine of an upstream as its home sees it."""

from __future__ import annotations

from enum import StrEnum

from transitions import Machine


class UpstreamState(StrEnum):
    """Name the states of an upstream."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"
    UNAVAILABLE = "unavailable"


class UpstreamEvent(StrEnum):
    """Name the events that change the state."""

    ASSIGNED = "assigned"
    RELEASED = "released"
    COLD_SIGN = "cold_sign"
    GREW = "grew"
    WARMED = "warmed"
    DRAIN = "drain"
    DRAIN_ENDED = "drain_ended"
    UNREACHABLE = "unreachable"
    REACHED = "reached"


_SERVING = (UpstreamState.COLD, UpstreamState.WARMING, UpstreamState.WARM)
_ASSIGNED = (*_SERVING, UpstreamState.DRAINING, UpstreamState.UNAVAILABLE)

# Event, states in which it applies, next state. In other states it is ignored.
TRANSITIONS: tuple[
    tuple[UpstreamEvent, tuple[UpstreamState, ...], UpstreamState], ...
] = (
    (UpstreamEvent.ASSIGNED, (UpstreamState.UNKNOWN,), UpstreamState.COLD),
    (UpstreamEvent.RELEASED, _ASSIGNED, UpstreamState.UNKNOWN),
    (UpstreamEvent.COLD_SIGN, _SERVING, UpstreamState.COLD),
    (UpstreamEvent.GREW, (UpstreamState.COLD,), UpstreamState.WARMING),
    (UpstreamEvent.WARMED, (UpstreamState.WARMING,), UpstreamState.WARM),
    (
        UpstreamEvent.DRAIN,
        (*_SERVING, UpstreamState.UNAVAILABLE),
        UpstreamState.DRAINING,
    ),
    (UpstreamEvent.DRAIN_ENDED, (UpstreamState.DRAINING,), UpstreamState.COLD),
    (UpstreamEvent.UNREACHABLE, _SERVING, UpstreamState.UNAVAILABLE),
    (UpstreamEvent.REACHED, (UpstreamState.UNAVAILABLE,), UpstreamState.COLD),
)
_SOURCES = {event: frozenset(sources) for event, sources, _ in TRANSITIONS}


class UpstreamStateMachine:
    """Apply events to the state of one upstream."""

    def __init__(self) -> None:
        self.state = UpstreamState.UNKNOWN
        self._machine = Machine(
            states=[state.value for state in UpstreamState],
            initial=UpstreamState.UNKNOWN.value,
            auto_transitions=False,
        )
        for event, sources, target in TRANSITIONS:
            self._machine.add_transition(
                event.value, [source.value for source in sources], target.value
            )

    def apply(self, event: UpstreamEvent) -> bool:
        """Apply an event and return whether it applied in this state."""
        if self.state not in _SOURCES[event]:
            return False
        self._machine.trigger(event.value)
        self.state = UpstreamState(self._machine.state)
        return True
