"""State transitions of a version move."""

from __future__ import annotations

from enum import StrEnum

from gypsumvane_core.document_models import MoveState


class MoveEvent(StrEnum):
    """Name the events that end a move."""

    TAKE_BACK = "take_back"
    FINISH = "finish"


# Event, states in which it applies, next state. Taking a move back is final; another
# move of the index has another move id.
TRANSITIONS: tuple[tuple[MoveEvent, tuple[MoveState, ...], MoveState], ...] = (
    (
        MoveEvent.TAKE_BACK,
        (MoveState.RUNNING, MoveState.DONE),
        MoveState.TAKEN_BACK,
    ),
    (MoveEvent.FINISH, (MoveState.RUNNING,), MoveState.DONE),
)


def is_allowed_transition(old: MoveState, new: MoveState) -> bool:
    """Return whether a new revision of a move may change its state this way."""
    if old is new:
        return True
    return any(old in sources and new is target for _, sources, target in TRANSITIONS)
