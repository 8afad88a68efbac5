"""Tests that the operations handbook lists every log message."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCE = ROOT / "packages" / "gypsumvane-daemon" / "src"
LEVELS = frozenset({"debug", "info", "warning", "error", "exception"})


def log_calls(file: Path) -> list[ast.Call]:
    """Return the calls of the logger in a module."""
    return [
        node
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8")))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "logger"
        and node.func.attr in LEVELS
    ]


class LogPageTest(unittest.TestCase):
    """Compare the handbook with the code."""

    def test_every_log_line_is_described(self) -> None:
        """Guard against a log line that operators cannot look up."""
        page = PAGE.read_text(encoding="utf-8")
        section = page.split("\n## Log lines\n")[1].split("\n## ")[0]
        calls = [call for file in SOURCE.rglob("*.py") for call in log_calls(file)]
        self.assertGreater(len(calls), 20)
        for call in calls:
            message = call.args[0]
            self.assertIsInstance(message, ast.Constant, ast.unparse(call))
            assert isinstance(message, ast.Constant)
            with self.subTest(message=message.value):
                self.assertIn(f"`{message.value}`", section)
