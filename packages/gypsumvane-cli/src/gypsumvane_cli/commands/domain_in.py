"""Command that returns a failure domain to service."""

from __future__ import annotations

from typing import ClassVar

from gypsumvane_cli.domain_change import DomainChange


class DomainBringIn(DomainChange):
    """Allow new work in a failure domain that was taken out."""

    words = "domain in"
    summary = "bring a failure domain back"
    action: ClassVar[str] = "in"
