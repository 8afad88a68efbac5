"""Delta encoding of heartbeats: fields that the peer already has are omitted.

Both ends keep the last heartbeat of each direction of a connection. Frames of a
connection arrive in order or the connection ends, so both ends hold the same
one; a new connection starts with a complete heartbeat. The fields that confirm a
view (epoch, acknowledgement, age of the confirmation, promise) are part of every
encoded heartbeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.messages import Beat
from gypsumvane_core.messages import BeatReply
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply

if TYPE_CHECKING:
    from gypsumvane_core.messages import UpstreamBrief

# Fields that may be omitted; their order defines the bits of `Beat.unchanged`.
DELTA_FIELDS = ("incarnation", "document_digest", "gone", "move_facts", "evidence")
AGE_MS_MAX = (1 << 32) - 1


class HeartbeatDeltaEncoder:
    """Encode the heartbeats that are sent on one connection."""

    def __init__(self) -> None:
        self._sent: Heartbeat | None = None
        self._sent_id = 0
        # Sequence number of the brief of each leaf that the peer has.
        self._sequences: dict[str, int] = {}

    def changed_briefs(self, heartbeat: Heartbeat) -> list[UpstreamBrief]:
        """Return the briefs of a heartbeat that the peer does not have."""
        known = self._sequences
        return [b for b in heartbeat.briefs if known.get(b.leaf_id) != b.sequence]

    def encode(self, heartbeat: Heartbeat) -> Beat:
        """Return the encoded heartbeat; call ``record_sent`` once it is written."""
        sent = self._sent
        cls = BeatReply if isinstance(heartbeat, HeartbeatReply) else Beat
        beat = cls(
            epoch=heartbeat.epoch,
            acknowledged_epoch=heartbeat.acknowledged_epoch,
            store_confirmed=heartbeat.confirmation_age_ms >= 0,
            confirmation_age_ms=_bounded(heartbeat.confirmation_age_ms),
            leaving=heartbeat.leaving_for_ms >= 0,
            leaving_for_ms=_bounded(heartbeat.leaving_for_ms),
            promise=heartbeat.promise,
            ready=heartbeat.ready,
            settled=heartbeat.settled,
            briefs=self.changed_briefs(heartbeat),
        )
        for bit, name in enumerate(DELTA_FIELDS):
            value = getattr(heartbeat, name)
            if sent is not None and getattr(sent, name) == value:
                beat.unchanged |= 1 << bit
            else:
                setattr(beat, name, value)
        return beat

    def record_sent(self, heartbeat: Heartbeat, request_id: int = 0) -> None:
        """Record a heartbeat that was written to the connection."""
        self._sent = heartbeat
        self._sent_id = request_id

    def record_reply(self, reply: HeartbeatReply, request_id: int) -> None:
        """Record a reply, which shows that the peer has the briefs.

        Replies of a peer that is not ready are ignored: it may answer
        heartbeats before the service that keeps the briefs has started.
        """
        if self._sent is not None and request_id == self._sent_id and reply.ready:
            self._sequences = {b.leaf_id: b.sequence for b in self._sent.briefs}


class HeartbeatDeltaDecoder:
    """Decode the heartbeats that are received on one connection."""

    def __init__(self) -> None:
        self._received: Heartbeat | None = None

    def decode(self, beat: Beat) -> Heartbeat:
        """Return the complete heartbeat, with only the briefs that have changed.

        Raises ValueError when it omits a field that was never received.
        """
        received = self._received
        if received is None and beat.unchanged:
            raise ValueError("first heartbeat of a connection omits fields")
        kept: dict[str, Any] = {
            name: getattr(received if beat.unchanged >> bit & 1 else beat, name)
            for bit, name in enumerate(DELTA_FIELDS)
        }
        cls = HeartbeatReply if isinstance(beat, BeatReply) else Heartbeat
        self._received = cls(
            epoch=beat.epoch,
            acknowledged_epoch=beat.acknowledged_epoch,
            confirmation_age_ms=beat.confirmation_age_ms
            if beat.store_confirmed
            else -1,
            promise=beat.promise,
            leaving_for_ms=beat.leaving_for_ms if beat.leaving else -1,
            ready=beat.ready,
            settled=beat.settled,
            briefs=beat.briefs,
            **kept,
        )
        return self._received


def _bounded(age_ms: int) -> int:
    return min(max(age_ms, 0), AGE_MS_MAX)
