"""Configuration documents in force on this daemon."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gypsumvane_core.document import DocumentCatalogue
from gypsumvane_core.messages import Document
from gypsumvane_core.messages import DocumentRevision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.metrics import MetricsService

logger = logging.getLogger(__name__)

DocumentListener = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class RevisionInForce:
    """Revision of a document in force and when it came into force."""

    revision: int
    change_id: str
    since_unix_ms: int


class AppliedDocuments:
    """Apply newer valid revisions of documents and notify listeners."""

    def __init__(self, clock: Clock) -> None:
        self.catalogue = DocumentCatalogue()
        self.metrics: MetricsService | None = None
        self._clock = clock
        self._in_force: dict[str, RevisionInForce] = {}
        self._listeners: list[DocumentListener] = []

    def on_change(self, listener: DocumentListener) -> None:
        """Register a listener, called with the name of each applied document."""
        self._listeners.append(listener)

    def apply(self, document: Document, *, source: str) -> bool:
        """Apply a document if it is newer and valid; return whether it was applied."""
        try:
            newer = self.catalogue.apply(document)
        except ValueError as error:
            self.report_rejected(document.name, source=source, problem=str(error))
            return False
        if not newer:
            return False
        self._in_force[document.name] = RevisionInForce(
            revision=document.revision,
            change_id=document.change_id,
            since_unix_ms=int(self._clock.unix_s() * 1000),
        )
        self._count("documents_applied", source=source)
        self._notify_listeners(document.name)
        return True

    def report_rejected(self, key: str, *, source: str, problem: str) -> None:
        """Count and log a value that is not a valid document."""
        self._count("documents_refused", source=source)
        logger.warning(
            "document rejected; keeping the revision in force",
            extra={"key": key, "source": source, "problem": problem},
        )

    def in_force(self, name: str) -> RevisionInForce | None:
        """Return the revision in force on this daemon, None without one."""
        return self._in_force.get(name)

    def revisions_in_force(self, names: Iterable[str]) -> list[DocumentRevision]:
        """Return the revisions in force of the named documents."""
        return [
            DocumentRevision(
                name=name,
                revision=state.revision,
                change_id=state.change_id,
                in_force_since_unix_ms=state.since_unix_ms,
            )
            for name in names
            if (state := self._in_force.get(name)) is not None
        ]

    def _notify_listeners(self, name: str) -> None:
        for listener in self._listeners:
            try:
                listener(name)
            except Exception:
                logger.exception(
                    "document listener failed; continuing with the others",
                    extra={"document": name},
                )

    def _count(self, counter: str, *, source: str) -> None:
        if self.metrics is not None:
            self.metrics.count(counter, source=source)
