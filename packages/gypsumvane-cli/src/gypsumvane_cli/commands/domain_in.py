"""Bring a failure domain back."""

from __future__ import annotations

from typing import ClassVar

from gypsumvane_cli.domain_change import DomainChange


class DomainBringIn(DomainChange):
    """Let a failure domain get work again."""

    words = "domain in"
    summary = "bring a failure domain back"
    action: ClassVar[str] = "in"
