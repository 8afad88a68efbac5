"""Whether a request may have run at an upstream."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Name what is known about the execution of a request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def allows_retry(self, *, idempotent: bool) -> bool:
        """Return whether another attempt is safe."""
        return idempotent or self is Verdict.NOT_RUN
