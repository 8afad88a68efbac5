"""Conversion between outcomes and booking replies on the peer protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import assert_never

from gypsumvane_core.messages import BookingReply
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from gypsumvane_core.claim import RecordedResult

COMPLETED = "completed"
REFUSED = "refused"
FAILED = "failed"


def reply_from_outcome(outcome: Outcome) -> BookingReply:
    """Return the peer message for an outcome."""
    if isinstance(outcome, Completed):
        return BookingReply(
            kind=COMPLETED,
            verdict=outcome.verdict,
            status=outcome.status,
            replayed=outcome.replayed,
            body=outcome.body,
        )
    if isinstance(outcome, Refused):
        return BookingReply(
            kind=REFUSED, verdict=outcome.verdict, reason=outcome.reason
        )
    if isinstance(outcome, Failed):
        return BookingReply(kind=FAILED, verdict=outcome.verdict, reason=outcome.reason)
    assert_never(outcome)


def outcome_from_reply(reply: BookingReply) -> Outcome:
    """Return the outcome of a reply.

    An unknown verdict or reason yields a failure with MAY_HAVE_RUN.
    """
    try:
        verdict = Verdict(reply.verdict)
        if reply.kind == COMPLETED and verdict is Verdict.RAN:
            return Completed(
                status=reply.status, body=reply.body, replayed=reply.replayed
            )
        reason = Reason(reply.reason)
    except ValueError:
        return Failed(
            reason=Reason.UPSTREAM_ERROR,
            verdict=Verdict.MAY_HAVE_RUN,
            message="the reply has an unknown verdict or reason",
        )
    if verdict is Verdict.NOT_RUN:
        return Refused(reason=reason)
    return Failed(reason=reason, verdict=verdict)


def replayed_outcome(result: RecordedResult | None) -> Outcome:
    """Return the outcome for a repeated key whose request has run.

    Without a stored body the outcome is a failure with verdict RAN.
    """
    if result is None or result.body is None:
        return Failed(reason=Reason.RESULT_NOT_KEPT, verdict=Verdict.RAN)
    return Completed(status=result.status, body=result.body, replayed=True)
