"""HTTP responses of the caller API."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.query_answer import AnswerOutcome
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from gypsumvane_core.outcome import Outcome
    from gypsumvane_core.query_answer import Answer
    from gypsumvane_core.query_answer import Coverage
    from gypsumvane_core.query_answer import LookupAnswer
    from gypsumvane_core.query_answer import SearchAnswer

_STATUS_OF_REFUSAL = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.UNKNOWN_INDEX: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_REUSED: 409,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_UNRESOLVED: 409,
    Reason.QUEUE_FULL: 429,
    Reason.CALLER_LIMIT: 429,
}
_STATUS_OF_FAILURE = {
    Reason.KEY_REUSED: 409,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_UNRESOLVED: 409,
    Reason.DEADLINE: 504,
}


def json_reply(value: dict[str, Any], *, status: int = 200) -> web.Response:
    """Return a response with a compact JSON body."""
    return web.Response(
        body=json.dumps(value, separators=(",", ":")).encode(),
        status=status,
        content_type="application/json",
    )


def refusal_status(reason: Reason) -> int:
    """Return the HTTP status of a refused request; 503 unless listed."""
    return _STATUS_OF_REFUSAL.get(reason, 503)


def error_reply(
    *,
    request_id: str,
    reason: Reason,
    message: str,
    verdict: Verdict = Verdict.NOT_RUN,
    outcome: str = AnswerOutcome.REFUSED,
    status: int | None = None,
) -> web.Response:
    """Return an error response with outcome, verdict, reason and message.

    Without ``status`` the reason determines the HTTP status.
    """
    if status is None and outcome == AnswerOutcome.REFUSED:
        status = refusal_status(reason)
    return json_reply(
        {
            "outcome": outcome,
            "verdict": verdict,
            "reason": reason,
            "message": message,
            "request_id": request_id,
        },
        status=status or _STATUS_OF_FAILURE.get(reason, 502),
    )


def search_reply(answer: SearchAnswer) -> web.Response:
    """Return the response to a search."""
    return _answer_reply(
        answer,
        coverage=_coverage(answer.coverage),
        hits=answer.hits,
        total=answer.total,
    )


def lookup_reply(answer: LookupAnswer) -> web.Response:
    """Return the response to a lookup."""
    return _answer_reply(
        answer, service=answer.service, found=answer.found, record=answer.record
    )


def run_reply(outcome: Outcome, *, request_id: str) -> web.Response:
    """Return the response to a non-idempotent request."""
    if isinstance(outcome, Completed):
        return _completed_reply(outcome, request_id=request_id)
    label = AnswerOutcome.REFUSED
    if isinstance(outcome, Failed):
        label = AnswerOutcome.FAILED
    return error_reply(
        request_id=request_id,
        reason=outcome.reason,
        message=outcome.message,
        verdict=outcome.verdict,
        outcome=label,
    )


def _completed_reply(outcome: Completed, *, request_id: str) -> web.Response:
    try:
        record = json.loads(outcome.body)
    except ValueError:
        return error_reply(
            request_id=request_id,
            reason=Reason.UPSTREAM_ERROR,
            message="the upstream ran the request but its answer is not valid JSON",
            verdict=outcome.verdict,
            outcome=AnswerOutcome.FAILED,
        )
    return json_reply(
        {
            "outcome": AnswerOutcome.COMPLETE,
            "verdict": outcome.verdict,
            "request_id": request_id,
            "replayed": outcome.replayed,
            "upstream_status": outcome.status,
            "record": record,
        }
    )


def _answer_reply(answer: Answer, **content: Any) -> web.Response:
    if answer.reason is not None:
        return error_reply(
            request_id=answer.request_id,
            reason=answer.reason,
            message=answer.message,
            verdict=answer.verdict,
            outcome=answer.outcome,
        )
    return json_reply(
        {
            "outcome": answer.outcome,
            "verdict": answer.verdict,
            "request_id": answer.request_id,
            "snapshot": answer.snapshot,
            **content,
        }
    )


def _coverage(coverage: Coverage) -> dict[str, Any]:
    return {
        "asked": coverage.asked,
        "answered": coverage.answered,
        "left_out": [
            {"service": entry.service, "reason": entry.reason}
            for entry in coverage.left_out
        ],
    }
