"""Tests that the operations handbook lists every counter and gauge."""

from __future__ import annotations

import ast
import re
import unittest
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCES = (
    ROOT / "packages" / "gypsumvane-daemon" / "src",
    ROOT / "packages" / "gypsumvane-core" / "src",
)
INSTRUMENTS = frozenset({"count", "_count", "gauge", "histogram"})
# Module whose instruments take the reason as second argument.
REASON_AS_ARGUMENT = "scatter"
METRIC_HEADING = "## Metrics"
# Functions that forward the name of a counter or count something else.
WITHOUT_LITERAL = {
    ("applied_documents", "_count"),
    ("gateway_service", "_count"),
    ("move_tracker", "_count"),
    ("move_tracker", "record"),
    ("move_tracker", "step"),
    # The attributes of `store_calls`.
    ("store_http", "_record_result"),
}


@dataclass(frozen=True)
class Use:
    """One use of an instrument in the code."""

    module: str
    function: str
    # None when the first argument is not a literal.
    name: str | None
    attributes: frozenset[str]


def uses_in(file: Path) -> list[Use]:
    """Return all uses of instruments in a module."""
    found: list[Use] = []

    def walk(node: ast.AST, function: str) -> None:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            function = node.name
        if isinstance(node, ast.Call) and _is_instrument(node):
            found.append(_use(node, module=file.stem, function=function))
        for child in ast.iter_child_nodes(node):
            walk(child, function)

    walk(ast.parse(file.read_text(encoding="utf-8")), "")
    return found


def _is_instrument(call: ast.Call) -> bool:
    return isinstance(call.func, ast.Attribute) and call.func.attr in INSTRUMENTS


def _use(call: ast.Call, *, module: str, function: str) -> Use:
    first = call.args[0] if call.args else None
    literal = isinstance(first, ast.Constant) and isinstance(first.value, str)
    attributes = {word.arg for word in call.keywords if word.arg is not None}
    if module == REASON_AS_ARGUMENT:
        attributes.add("reason")
    return Use(
        module=module,
        function=function,
        name=first.value if literal else None,  # type: ignore[union-attr]
        attributes=frozenset(attributes - {"unit", "amount"}),
    )


def all_uses() -> list[Use]:
    """Return the uses in all modules of the daemon."""
    files = [file for source in SOURCES for file in sorted(source.rglob("*.py"))]
    return [use for file in files for use in uses_in(file)]


class MetricsPageTest(unittest.TestCase):
    """Compare the handbook with the code."""

    def setUp(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        section = page.split(f"\n{METRIC_HEADING}\n")[1].split("\n## ")[0]
        self.rows = {
            match[1]: row
            for row in section.splitlines()
            if (match := re.match(r"\| `([a-z_]+)` \|", row))
        }
        self.uses = all_uses()

    def test_every_instrument_is_described(self) -> None:
        """Guard against a counter or gauge that operators cannot look up."""
        names = {use.name for use in self.uses if use.name is not None}
        self.assertGreater(len(names), 30)
        self.assertEqual(names - self.rows.keys(), set())

    def test_no_row_without_instrument(self) -> None:
        """Guard against a described counter that the code no longer has."""
        names = {use.name for use in self.uses if use.name is not None}
        self.assertEqual(self.rows.keys() - names, set())

    def test_every_attribute_is_described(self) -> None:
        """Guard against an attribute that operators cannot look up."""
        for use in self.uses:
            if use.name is None:
                continue
            for attribute in use.attributes:
                with self.subTest(counter=use.name, attribute=attribute):
                    self.assertIn(f"`{attribute}`", self.rows.get(use.name, ""))

    def test_names_are_literals(self) -> None:
        """Guard against a counter whose name this test cannot see."""
        found = {(use.module, use.function) for use in self.uses if use.name is None}
        self.assertEqual(found, WITHOUT_LITERAL)
