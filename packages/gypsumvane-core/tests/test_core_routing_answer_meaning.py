"""Meaning of leaves' answers by status, statement and signature."""

from __future__ import annotations

import unittest

from gypsumvane_core.routing.answer_meaning import AnswerMeaning
from gypsumvane_core.routing.answer_meaning import interpret_answer


class AnswerMeaningTest(unittest.TestCase):
    """Check which answers show a run, a failure or a refusal."""

    def check(self, meaning: AnswerMeaning, *statuses: int, **statements: bool) -> None:
        """Check the meaning of answers with some statuses and statements."""
        for status in statuses:
            with self.subTest(status, **statements):
                answer = {"says_not_run": False, "signed": False, **statements}
                self.assertIs(interpret_answer(status, **answer), meaning)

    def test_failures_of_executed_requests(self) -> None:
        """Guard against a failure that counts as a good answer or as a refusal."""
        self.check(AnswerMeaning.FAILURE, 408, 421, 429, 500, 503, 504, signed=True)

    def test_results(self) -> None:
        """Guard against an error of the caller that counts against the leaf."""
        self.check(AnswerMeaning.RESULT, 200, 204, 304, 400, 404, 409, signed=True)

    def test_refusals(self) -> None:
        """Guard against a refusal that is not sent to another leaf."""
        self.check(AnswerMeaning.REFUSAL, 400, 408, 429, 503, says_not_run=True)
        self.check(AnswerMeaning.MISDIRECTED, 421)
        self.check(AnswerMeaning.MISDIRECTED, 421, says_not_run=True)

    def test_success_that_denies_its_run(self) -> None:
        """Guard against a second run after an answer that contradicts itself."""
        self.check(AnswerMeaning.UNPROVEN, 200, 204, 302, says_not_run=True)
        self.check(
            AnswerMeaning.UNPROVEN, 200, 204, 302, says_not_run=True, signed=True
        )

    def test_encoded_answer(self) -> None:
        """Guard against a second run after a signed 421 with an encoded body."""
        self.check(AnswerMeaning.UNPROVEN, 200, 421, 503, signed=True, encoded=True)
        self.check(AnswerMeaning.MISDIRECTED, 421, encoded=True)

    def test_status_alone_shows_no_refusal(self) -> None:
        """Guard against a second run after a status without a statement."""
        self.check(AnswerMeaning.UNPROVEN, 200, 408, 429, 500, 503)


if __name__ == "__main__":
    unittest.main()
