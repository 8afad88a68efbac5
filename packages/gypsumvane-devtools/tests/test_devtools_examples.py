"""Tests of the sample settings and documents."""

from __future__ import annotations

import unittest
from pathlib import Path

from gypsumvane_core.document import parse_body
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_daemon.settings import load_settings
from gypsumvane_devtools.examples import documents
from gypsumvane_devtools.sample_plans import sustanar_plan
from gypsumvane_devtools.sample_plans import trust_plan

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = ROOT / "examples"
PLANS = {"trust": trust_plan(), "sustanar": sustanar_plan()}


class ExamplesTest(unittest.TestCase):
    """Check that daemons accept the samples that operators copy."""

    def test_settings_are_valid(self) -> None:
        """Guard against sample settings that the daemon rejects."""
        for user, plan in PLANS.items():
            settings = load_settings(EXAMPLES / user / "daemon.toml")
            self.assertIn(settings.vm.failure_domain, plan.domains)

    def test_documents_are_valid_and_current(self) -> None:
        """Guard against samples that differ from the models or the plans."""
        for user, plan in PLANS.items():
            for name, expected in documents(plan).items():
                path = EXAMPLES / user / "documents" / f"{name}.json"
                self.assertEqual(parse_body(name, path.read_bytes()), expected, path)

    def test_replicas_are_in_different_domains(self) -> None:
        """Guard against a service that is lost with one failure domain."""
        for plan in PLANS.values():
            for document in documents(plan).values():
                if isinstance(document, IndexDocument):
                    self.check_domains(document)

    def check_domains(self, document: IndexDocument) -> None:
        """Check each service of an index."""
        for service in {leaf.service for leaf in document.leaves}:
            leaves = [leaf for leaf in document.leaves if leaf.service == service]
            domains = {leaf.failure_domain for leaf in leaves}
            self.assertEqual(len(domains), len(leaves), service)
