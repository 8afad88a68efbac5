"""Promises to peers not to write a view, and the wait before a write."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WritePromises:
    """Grant promises while no write is pending and no outcome is unknown."""

    validity_s: float
    # Stored version that a write with unknown outcome would replace.
    unresolved_version: int | None = None
    _writing: bool = False
    _last_given_s: float | None = None

    def grant(self, now_s: float) -> bool:
        """Grant a promise that is valid from now; return whether it was granted."""
        if self._writing or self.unresolved_version is not None:
            return False
        self._last_given_s = now_s
        return True

    def begin_write(self) -> None:
        """Stop granting promises while a write is pending."""
        self._writing = True

    def end_write(self) -> None:
        """Resume granting promises after a write."""
        self._writing = False

    def wait_s(self, now_s: float) -> float:
        """Return for how many seconds the last promise is still valid."""
        if self._last_given_s is None:
            return 0.0
        return max(0.0, self._last_given_s + self.validity_s - now_s)

    def record_lost_answer(self, expected_version: int) -> None:
        """Stop granting promises: the write may take effect at any later time."""
        self.unresolved_version = expected_version

    def record_version(self, version: int) -> None:
        """Resume granting promises once another version makes the write impossible."""
        if self.unresolved_version is not None and version != self.unresolved_version:
            self.unresolved_version = None
