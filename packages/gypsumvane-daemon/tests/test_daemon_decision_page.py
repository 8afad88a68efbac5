"""Tests that the operators' handbook lists every decision on a request."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCE = ROOT / "packages" / "gypsumvane-daemon" / "src" / "gypsumvane_daemon"
HEADING = "\n## Routing daemons: from a failed request to its cause\n"


def decisions() -> set[str]:
    """Return the names of all decisions that the code logs."""
    found: set[str] = set()
    for file in (SOURCE / "routing").glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            if not isinstance(function, ast.Attribute):
                continue
            if function.attr in ("line", "decision"):
                first = node.args[0]
                choices = [first]
                if isinstance(first, ast.IfExp):
                    choices = [first.body, first.orelse]
                found |= {
                    choice.value
                    for choice in choices
                    if isinstance(choice, ast.Constant)
                }
    return found


class DecisionPageTest(unittest.TestCase):
    """Compare the handbook with the code."""

    def test_every_decision_is_described(self) -> None:
        """Guard against a decision that on-call engineers cannot look up."""
        section = PAGE.read_text(encoding="utf-8").split(HEADING)[1].split("\n## ")[0]
        rows = re.findall(r"^\| (`[a-z_`, ]+`) \|", section, flags=re.MULTILINE)
        described = {name for row in rows for name in re.findall(r"`([a-z_]+)`", row)}
        self.assertGreater(len(described), 8)
        self.assertEqual(decisions(), described)
