"""State machine of one attempt to run a non-idempotent request."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from transitions import Machine

from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable


class BookingState(StrEnum):
    """Name the states of an attempt."""

    NEW = "new"
    CLAIMED = "claimed"
    SENT = "sent"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNRESOLVED = "unresolved"


TRANSITIONS: list[Any] = [
    {"trigger": "claim", "source": "new", "dest": "claimed"},
    {"trigger": "send", "source": "claimed", "dest": "sent"},
    # The leaf certainly did not run the request; another leaf may be tried.
    {"trigger": "refuse", "source": "sent", "dest": "claimed"},
    {"trigger": "complete", "source": "sent", "dest": "ran"},
    {"trigger": "mark_unresolved", "source": "sent", "dest": "unresolved"},
    {"trigger": "abandon", "source": ["new", "claimed"], "dest": "not_run"},
]


class BookingAttempt:
    """Enforce the order of the steps of one attempt.

    A step out of order raises ``transitions.MachineError``.
    """

    state: str
    claim: Callable[[], bool]
    send: Callable[[], bool]
    refuse: Callable[[], bool]
    complete: Callable[[], bool]
    mark_unresolved: Callable[[], bool]
    abandon: Callable[[], bool]

    def __init__(self) -> None:
        Machine(
            model=self,
            states=[state.value for state in BookingState],
            transitions=TRANSITIONS,
            initial=BookingState.NEW.value,
            auto_transitions=False,
        )

    def verdict(self) -> Verdict:
        """Return whether the request ran in this attempt."""
        if self.state == BookingState.RAN:
            return Verdict.RAN
        if self.state in (BookingState.SENT, BookingState.UNRESOLVED):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
