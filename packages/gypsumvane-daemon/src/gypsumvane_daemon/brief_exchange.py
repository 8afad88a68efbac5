"""Distribution of upstream briefs with heartbeats and results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.messages import HeartbeatReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import UpstreamBrief
    from gypsumvane_core.upstream_briefs import BriefCache


class BriefExchange:
    """Send peers the state summaries (briefs) of the leaves of this home."""

    def __init__(
        self, briefs: BriefCache, own_leaf_ids: Callable[[], Iterable[str]]
    ) -> None:
        self._briefs = briefs
        self._own_leaf_ids = own_leaf_ids
        # VM identifier -> leaf identifier -> sequence last sent with results.
        self._sent_sequences: dict[str, dict[str, int]] = {}

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Add the briefs of this home's leaves to a heartbeat.

        The peer connection omits briefs that the peer already has. Replies carry
        none: they go to the same peers on other connections, so each brief would
        be sent twice.
        """
        if not isinstance(heartbeat, HeartbeatReply):
            found = (self._briefs.get(leaf_id) for leaf_id in self._own_leaf_ids())
            heartbeat.briefs.extend(brief for brief in found if brief is not None)

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Store the briefs of a received heartbeat."""
        for brief in heartbeat.briefs:
            self._briefs.update(brief)

    def unsent(self, vm_id: str, leaf_ids: Iterable[str]) -> list[UpstreamBrief]:
        """Return the briefs a peer lacks and mark them as sent with its results.

        If the message is lost, the next heartbeat delivers the briefs.
        """
        sent = self._sent_sequences.setdefault(vm_id, {})
        unsent = []
        for leaf_id in leaf_ids:
            brief = self._briefs.get(leaf_id)
            if brief is not None and sent.get(leaf_id) != brief.sequence:
                sent[leaf_id] = brief.sequence
                unsent.append(brief)
        return unsent

    def forget(self, leaf_id: str) -> None:
        """Discard the sent sequences of a leaf that has moved to another home."""
        for sent in self._sent_sequences.values():
            sent.pop(leaf_id, None)
