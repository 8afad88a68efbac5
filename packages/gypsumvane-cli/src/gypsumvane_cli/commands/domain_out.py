"""Command that takes a failure domain out of service."""

from __future__ import annotations

from typing import ClassVar

from gypsumvane_cli.domain_change import DomainChange


class DomainTakeOut(DomainChange):
    """Stop new work in a failure domain."""

    words = "domain out"
    summary = "take a failure domain out; it gets no new work"
    action: ClassVar[str] = "out"
