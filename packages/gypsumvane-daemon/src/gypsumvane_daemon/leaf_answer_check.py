"""Classification of upstream responses into outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Outcome
from gypsumvane_core.outcome import Refused
from gypsumvane_core.reason import Reason
from gypsumvane_core.verdict import Verdict

if TYPE_CHECKING:
    from gypsumvane_daemon.leaf_task import LeafTask
    from gypsumvane_daemon.upstream_client import LeafAnswer

_REFUSAL_REASONS = {
    400: Reason.BAD_REQUEST,
    409: Reason.SNAPSHOT_GONE,
    503: Reason.UPSTREAM_SHED,
    504: Reason.DEADLINE,
}


def classify_answer(task: LeafTask, answer: LeafAnswer, request_id: str) -> Outcome:
    """Return the strongest outcome that a response proves.

    A response to another request proves nothing, so its verdict is MAY_HAVE_RUN.
    Only an explicit ``Verdict: not-run`` header counts as a refusal. A success that
    denies its run contradicts itself and proves nothing.
    """
    if answer.request_id != request_id:
        return Failed(Reason.ANSWER_MISMATCH, Verdict.MAY_HAVE_RUN)
    if answer.not_run and answer.status >= 400:
        return Refused(_refusal_reason(answer), message=_body_excerpt(answer))
    if answer.status != 200 or answer.not_run:
        reason = Reason.DEADLINE if answer.status == 504 else Reason.UPSTREAM_ERROR
        return Failed(reason, Verdict.MAY_HAVE_RUN, message=_body_excerpt(answer))
    if not _snapshot_matches(task, answer):
        return Failed(Reason.SNAPSHOT_MISMATCH, Verdict.RAN)
    return Completed(status=answer.status, body=answer.body)


def _refusal_reason(answer: LeafAnswer) -> Reason:
    if answer.status == 503 and (answer.draining or b"draining" in answer.body):
        return Reason.UPSTREAM_LEAVING
    return _REFUSAL_REASONS.get(answer.status, Reason.UPSTREAM_ERROR)


def _snapshot_matches(task: LeafTask, answer: LeafAnswer) -> bool:
    if not task.snapshot:
        return True
    if answer.snapshot < 0:
        return not task.snapshot_required
    return answer.snapshot == task.snapshot


def _body_excerpt(answer: LeafAnswer) -> str:
    return answer.body[:200].decode(errors="replace")
