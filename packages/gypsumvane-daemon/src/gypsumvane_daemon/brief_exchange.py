"""Briefs of own upstreams in heartbeats and results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.messages import HeartbeatReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import UpstreamBrief
    from gypsumvane_core.upstream_briefs import BriefBoard


class BriefExchange:
    """Tell the peers about the own leaves."""

    def __init__(
        self, board: BriefBoard, own_leaf_ids: Callable[[], Iterable[str]]
    ) -> None:
        self._board = board
        self._own_leaf_ids = own_leaf_ids
        # VM identifier to the sequence last sent with results for each leaf.
        self._sent_sequences: dict[str, dict[str, int]] = {}

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Fill the briefs of a heartbeat.

        The connection leaves out those that the peer has. Replies go to the
        same peers on other connections and would carry each brief again.
        """
        if not isinstance(heartbeat, HeartbeatReply):
            found = (self._board.get(leaf_id) for leaf_id in self._own_leaf_ids())
            heartbeat.briefs.extend(brief for brief in found if brief is not None)

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Take over the briefs of a heartbeat."""
        for brief in heartbeat.briefs:
            self._board.take(brief)

    def unsent(self, vm_id: str, leaf_ids: Iterable[str]) -> list[UpstreamBrief]:
        """Return the briefs for results to a peer and count them as sent.

        The next heartbeat makes good a lost message.
        """
        sent = self._sent_sequences.setdefault(vm_id, {})
        unsent = []
        for leaf_id in leaf_ids:
            brief = self._board.get(leaf_id)
            if brief is not None and sent.get(leaf_id) != brief.sequence:
                sent[leaf_id] = brief.sequence
                unsent.append(brief)
        return unsent

    def forget(self, leaf_id: str) -> None:
        """Forget what was sent about a leaf that has another home now."""
        for sent in self._sent_sequences.values():
            sent.pop(leaf_id, None)
