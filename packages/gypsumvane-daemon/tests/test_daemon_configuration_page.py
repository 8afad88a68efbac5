"""Tests that the configuration page describes every key."""

from __future__ import annotations

import unittest
from pathlib import Path

from pydantic import BaseModel

from gypsumvane_core.document_models import DomainOut
from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import LeafModel
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_core.document_models import PolicyException
from gypsumvane_daemon.settings import Settings

PAGE = Path(__file__).parents[3] / "docs" / "configuration.md"


class ConfigurationPageTest(unittest.TestCase):
    """Compare the configuration page with the models."""

    def setUp(self) -> None:
        self.page = PAGE.read_text(encoding="utf-8")

    def rows_of(self, key: str) -> list[str]:
        """Return the table rows that name a key."""
        return [line for line in self.page.splitlines() if f"`{key}`" in line]

    def test_settings_keys(self) -> None:
        """Guard against a settings key without unit, default and rule."""
        for section, field in Settings.model_fields.items():
            model = field.annotation
            assert isinstance(model, type) and issubclass(model, BaseModel)
            for key, value in model.model_fields.items():
                with self.subTest(key=f"{section}.{key}"):
                    rows = self.rows_of(f"{section}.{key}")
                    self.assertTrue(rows)
                    if isinstance(value.default, int | float):
                        self.assertIn(f"| {value.default} |", rows[0])

    def test_policy_keys(self) -> None:
        """Guard against a default of a policy key that differs from the page."""
        for key, value in Policy.model_fields.items():
            with self.subTest(key=key):
                rows = self.rows_of(key)
                self.assertTrue(rows)
                defaults = [
                    float(row.split("|")[3]) for row in rows if "share |" in row
                ]
                defaults = defaults or [float(rows[0].split("|")[3])]
                self.assertEqual(defaults[0], float(value.default))

    def test_document_keys(self) -> None:
        """Guard against a document key that is not described."""
        models = {
            "": (FleetDocument, PolicyException, IndexDocument, MoveDocument),
            "out[].": (DomainOut,),
            "leaves[].": (LeafModel,),
        }
        for prefix, classes in models.items():
            for model in classes:
                for key in model.model_fields:
                    with self.subTest(key=prefix + key):
                        self.assertIn(f"`{prefix}{key}`", self.page)
