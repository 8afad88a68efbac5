"""Large answers that arrive at the same time."""

from __future__ import annotations

import unittest

from gypsumvane_core.routing.receive_allowance import ALLOWED_BYTES
from gypsumvane_core.routing.receive_allowance import UNCOUNTED_BYTES
from gypsumvane_core.routing.receive_allowance import AnswerSize
from gypsumvane_core.routing.receive_allowance import ReceiveAllowance

ANSWERS = 100
BLOCK_BYTES = 65_536


class ReceiveAllowanceTest(unittest.TestCase):
    """Play answers without end beside usual ones."""

    def setUp(self) -> None:
        self.allowance = ReceiveAllowance()

    def test_endless_answers_at_once(self) -> None:
        """Guard against answers that together exceed the memory of the VM."""
        answers = [AnswerSize(self.allowance) for _ in range(ANSWERS)]
        held = dict.fromkeys(range(ANSWERS), 0)
        for _ in range(200):
            for number in list(held):
                if answers[number].add(BLOCK_BYTES):
                    held[number] += BLOCK_BYTES
                else:
                    answers[number].reset()
                    del held[number]
            uncounted = ANSWERS * UNCOUNTED_BYTES
            self.assertLessEqual(sum(held.values()), ALLOWED_BYTES + uncounted)
            self.assertTrue(AnswerSize(self.allowance).add(UNCOUNTED_BYTES))

    def test_large_answers_one_after_the_other(self) -> None:
        """Guard against an allowance that ended answers keep."""
        answer = AnswerSize(self.allowance)
        for _ in range(50):
            self.assertTrue(answer.add(ALLOWED_BYTES))
            answer.reset()
        self.assertEqual(self.allowance.taken_bytes, 0)


if __name__ == "__main__":
    unittest.main()
