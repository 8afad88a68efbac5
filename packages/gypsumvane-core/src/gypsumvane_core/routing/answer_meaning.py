"""Meaning of an answer of a leaf: whether the request ran, and whether it failed.

Callers, retries, the load of leaves and version moves all go by this meaning.
"""

from __future__ import annotations

from enum import StrEnum

# Status of a leaf that is not the one that the request names.
MISDIRECTED_STATUS = 421
# Statuses below are successes and redirections.
FIRST_ERROR_STATUS = 400
# Statuses from here on are failures.
FIRST_FAILURE_STATUS = 500
# Statuses that tell a caller that its request was not and will not be executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class AnswerMeaning(StrEnum):
    """Name what an answer of a leaf shows about its request."""

    # The leaf executed the request; an error of the caller is a result, too.
    RESULT = "result"
    # The leaf executed the request and failed.
    FAILURE = "failure"
    # The leaf states that it did not execute the request.
    REFUSAL = "refusal"
    # Another leaf has the address and did not execute the request.
    MISDIRECTED = "misdirected"
    # Nothing shows whether a leaf executed the request.
    UNPROVEN = "unproven"


def interpret_answer(
    status: int, *, says_not_run: bool, signed: bool, encoded: bool = False
) -> AnswerMeaning:
    """Return what an answer shows.

    A status never shows by itself that a request was not executed. Only the leaf's
    statement does, or a 421 without the signature that leaves put on executed
    requests. An encoded body is not the one that the leaf signed.
    """
    if status == MISDIRECTED_STATUS and (says_not_run or not signed):
        return AnswerMeaning.MISDIRECTED
    if says_not_run and status >= FIRST_ERROR_STATUS:
        return AnswerMeaning.REFUSAL
    if says_not_run or not signed or encoded:
        # A success that denies its run contradicts itself.
        return AnswerMeaning.UNPROVEN
    if status >= FIRST_FAILURE_STATUS or status in NOT_RUN_STATUSES:
        return AnswerMeaning.FAILURE
    return AnswerMeaning.RESULT
