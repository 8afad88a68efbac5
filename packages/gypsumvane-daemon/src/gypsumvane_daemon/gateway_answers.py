"""Construction of answers from the final state of a query."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Refused
from gypsumvane_core.partial_body import HitPage
from gypsumvane_core.partial_body import LookupRecord
from gypsumvane_core.partial_body import merge_hit_pages
from gypsumvane_core.query_answer import AnswerOutcome
from gypsumvane_core.query_answer import Coverage
from gypsumvane_core.query_answer import LookupAnswer
from gypsumvane_core.query_answer import SearchAnswer
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from gypsumvane_core.query_request import LookupRequest
    from gypsumvane_core.query_request import SearchRequest
    from gypsumvane_core.query_state import QueryState


def search_answer(request: SearchRequest, state: QueryState) -> SearchAnswer:
    """Merge the accepted partial results into one page."""
    coverage = state.coverage()
    if not coverage.answered:
        return unanswered_search(request, _unanswered_outcome(state), state)
    pages = [body for body in state.bodies() if isinstance(body, HitPage)]
    page = merge_hit_pages(pages, limit=request.limit, offset=request.offset)
    complete = coverage.answered == coverage.asked
    return SearchAnswer(
        request_id=request.request_id,
        outcome=AnswerOutcome.COMPLETE if complete else AnswerOutcome.PARTIAL,
        verdict=Verdict.RAN,
        snapshot=state.snapshot,
        coverage=coverage,
        hits=page.hits,
        total=page.total,
    )


def unanswered_search(
    request: SearchRequest, outcome: Refused | Failed, state: QueryState | None = None
) -> SearchAnswer:
    """Return the answer to a search without any partial result."""
    return SearchAnswer(
        request_id=request.request_id,
        outcome=_answer_outcome(outcome),
        verdict=outcome.verdict,
        reason=outcome.reason,
        message=outcome.message,
        snapshot=state.snapshot if state is not None else 0,
        coverage=state.coverage() if state is not None else Coverage(),
    )


def lookup_answer(request: LookupRequest, state: QueryState) -> LookupAnswer:
    """Return the record that the service of the key answered with."""
    for part in state.parts.values():
        if isinstance(part.body, LookupRecord):
            return LookupAnswer(
                request_id=request.request_id,
                outcome=AnswerOutcome.COMPLETE,
                verdict=Verdict.RAN,
                snapshot=state.snapshot,
                service=part.service,
                found=part.body.found,
                record=part.body.record,
            )
    return unanswered_lookup(request, _unanswered_outcome(state))


def unanswered_lookup(
    request: LookupRequest, outcome: Refused | Failed
) -> LookupAnswer:
    """Return the answer to a lookup that no leaf answered."""
    return LookupAnswer(
        request_id=request.request_id,
        outcome=_answer_outcome(outcome),
        verdict=outcome.verdict,
        reason=outcome.reason,
        message=outcome.message,
    )


def _unanswered_outcome(state: QueryState) -> Refused | Failed:
    reasons = Counter(entry.reason for entry in state.coverage().left_out)
    reason = reasons.most_common(1)[0][0] if reasons else Reason.NO_SNAPSHOT
    if state.may_have_run:
        return Failed(
            reason=reason,
            verdict=Verdict.MAY_HAVE_RUN,
            message="no service answered in time",
        )
    return Refused(reason=reason, message="no service accepted the request")


def _answer_outcome(outcome: Refused | Failed) -> AnswerOutcome:
    if isinstance(outcome, Refused):
        return AnswerOutcome.REFUSED
    return AnswerOutcome.FAILED
