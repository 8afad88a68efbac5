"""Life cycle state machine of a daemon."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from transitions import Machine

if TYPE_CHECKING:
    from collections.abc import Callable


class LifeState(Enum):
    """Name the states of a daemon."""

    STARTING = "starting"
    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPING = "stopping"
    STOPPED = "stopped"


_ALL = list(LifeState)
_BEFORE_LEAVING = _ALL[: _ALL.index(LifeState.LEAVING)]
_BEFORE_STOPPED = _ALL[: _ALL.index(LifeState.STOPPED)]
TRANSITIONS: list[Any] = [
    ["join", LifeState.STARTING, LifeState.JOINING],
    ["serve", LifeState.JOINING, LifeState.SERVING],
    # The daemon was removed from the view and has to join again.
    ["lose_membership", LifeState.SERVING, LifeState.JOINING],
    ["leave", _BEFORE_LEAVING, LifeState.LEAVING],
    ["finish", LifeState.LEAVING, LifeState.STOPPING],
    ["end", _BEFORE_STOPPED, LifeState.STOPPED],
]


class LifeCycle:
    """Hold the state of a daemon and allow only defined transitions."""

    state: LifeState

    def __init__(self, on_state: Callable[[LifeState], None]) -> None:
        self._on_state = on_state
        self._machine = Machine(
            model=self,
            states=LifeState,
            transitions=TRANSITIONS,
            initial=LifeState.STARTING,
            auto_transitions=False,
            after_state_change="_report",
        )

    def apply(self, trigger: str) -> None:
        """Apply a transition.

        Raises transitions.MachineError when the state does not allow it.
        """
        getattr(self, trigger)()

    def _report(self) -> None:
        self._on_state(self.state)
