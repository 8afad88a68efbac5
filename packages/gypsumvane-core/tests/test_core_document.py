"""Tests of configuration documents."""

from __future__ import annotations

import unittest

from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.messages import Document


def domains_document(revision: int, body: bytes = b'{"out": []}') -> Document:
    """Return a revision of the domains document."""
    return Document(
        name="domains",
        revision=revision,
        change_id=f"change-{revision}",
        author="operator",
        reason="test",
        accepted_unix_ms=0,
        body=body,
    )


class DocumentCatalogueTest(unittest.TestCase):
    """Check that applied revisions only increase."""

    def test_older_revision_is_ignored(self) -> None:
        """Guard against a configuration that reverts to an older revision."""
        catalogue = DocumentCatalogue()
        out = b'{"out": [{"failure_domain": "a", "reason": "power work"}]}'
        self.assertTrue(catalogue.apply(domains_document(2, out)))
        self.assertFalse(catalogue.apply(domains_document(1)))
        self.assertEqual(catalogue.domains_out(), frozenset({"a"}))

    def test_invalid_body_keeps_the_old_revision(self) -> None:
        """Guard against invalid input that removes the configuration in force."""
        catalogue = DocumentCatalogue()
        catalogue.apply(domains_document(1))
        with self.assertRaises(ValueError):
            catalogue.apply(domains_document(2, b'{"unknown": 1}'))
        self.assertEqual(catalogue.revisions(), {"domains": 1})
