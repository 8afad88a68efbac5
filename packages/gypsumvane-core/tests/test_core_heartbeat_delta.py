"""Tests of the delta encoding of heartbeats."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumvane_core.heartbeat_delta import DELTA_FIELDS
from gypsumvane_core.heartbeat_delta import HeartbeatDeltaDecoder
from gypsumvane_core.heartbeat_delta import HeartbeatDeltaEncoder
from gypsumvane_core.messages import Beat
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply
from gypsumvane_core.messages import MoveEvidence
from gypsumvane_core.messages import MoveFact
from gypsumvane_core.messages import UpstreamBrief

settings.register_profile("heartbeats", derandomize=True, deadline=None)
SEEDED = settings(settings.get_profile("heartbeats"), max_examples=200)

AGES = st.sampled_from([-1, 0, 1, 500, 1 << 20])
NAMES = st.sampled_from(["", "a", "b"])
FIELDS = {
    "epoch": st.integers(0, 5),
    "acknowledged_epoch": st.integers(0, 5),
    "confirmation_age_ms": AGES,
    "promise": st.booleans(),
    "document_digest": st.integers(0, 2),
    "leaving_for_ms": AGES,
    "ready": st.booleans(),
    "gone": st.lists(NAMES, max_size=2),
    "move_facts": st.lists(st.builds(MoveFact, move_id=NAMES), max_size=2),
    "evidence": st.lists(st.builds(MoveEvidence, old_answers=AGES), max_size=2),
    "briefs": st.lists(
        st.builds(UpstreamBrief, leaf_id=NAMES, sequence=st.integers(0, 2)),
        max_size=3,
        unique_by=lambda brief: brief.leaf_id,
    ),
    "incarnation": NAMES,
    "settled": st.booleans(),
}
HEARTBEATS = st.builds(Heartbeat, **FIELDS) | st.builds(HeartbeatReply, **FIELDS)


class HeartbeatDeltaTest(unittest.TestCase):
    """Check that the receiver decodes exactly what was sent."""

    @SEEDED
    @given(st.lists(st.tuples(HEARTBEATS, st.booleans()), max_size=8))
    def test_receiver_gets_each_heartbeat_complete(
        self, sent: list[tuple[Heartbeat, bool]]
    ) -> None:
        """Guard against a field that is decoded from the wrong heartbeat.

        A heartbeat that was not written must not count as received.
        """
        encoder, decoder = HeartbeatDeltaEncoder(), HeartbeatDeltaDecoder()
        heard: dict[str, int] = {}
        for number, (heartbeat, written) in enumerate(sent):
            beat = encoder.encode(heartbeat)
            if written:
                encoder.record_sent(heartbeat, number)
                encoder.record_reply(HeartbeatReply(ready=True), number)
                received = decoder.decode(beat)
                self.assertEqual(
                    replace(received, briefs=[]), replace(heartbeat, briefs=[])
                )
                heard.update((b.leaf_id, b.sequence) for b in received.briefs)
                for brief in heartbeat.briefs:
                    self.assertEqual(heard[brief.leaf_id], brief.sequence)

    def test_brief_is_omitted_once_it_is_acknowledged(self) -> None:
        """Guard against briefs that a peer never gets or gets repeatedly.

        A peer may answer heartbeats before the service that keeps the briefs has
        started; such an answer must not count as an acknowledgement.
        """
        encoder = HeartbeatDeltaEncoder()
        brief = UpstreamBrief(leaf_id="a", sequence=4)
        heartbeat = Heartbeat(briefs=[brief])

        def briefs_after(reply: HeartbeatReply, request_id: int) -> list[UpstreamBrief]:
            encoder.record_reply(reply, request_id)
            return encoder.encode(heartbeat).briefs

        ready = HeartbeatReply(ready=True)
        encoder.record_sent(heartbeat, 7)
        self.assertEqual(encoder.encode(heartbeat).briefs, [brief])
        self.assertEqual(briefs_after(HeartbeatReply(), 7), [brief])
        self.assertEqual(briefs_after(ready, 6), [brief])
        self.assertEqual(briefs_after(ready, 7), [])
        newer = replace(brief, sequence=5)
        self.assertEqual(encoder.encode(Heartbeat(briefs=[newer])).briefs, [newer])

    def test_confirmation_is_in_every_heartbeat(self) -> None:
        """Guard against a confirmation that is decoded from an earlier heartbeat."""
        encoder = HeartbeatDeltaEncoder()
        heartbeat = HeartbeatReply(
            epoch=7,
            acknowledged_epoch=7,
            confirmation_age_ms=40,
            promise=True,
            settled=True,
            document_digest=1,
            gone=["b"],
            incarnation="a",
        )
        encoder.record_sent(heartbeat)
        beat = encoder.encode(replace(heartbeat))
        self.assertEqual(beat.unchanged, (1 << len(DELTA_FIELDS)) - 1)
        self.assertEqual((beat.gone, beat.incarnation), ([], ""))
        self.assertEqual((beat.epoch, beat.acknowledged_epoch), (7, 7))
        self.assertEqual((beat.store_confirmed, beat.confirmation_age_ms), (True, 40))
        self.assertTrue(beat.promise and beat.settled)

    def test_first_heartbeat_of_a_connection_must_be_complete(self) -> None:
        """Guard against a heartbeat that is decoded without its sender."""
        with self.assertRaises(ValueError):
            HeartbeatDeltaDecoder().decode(Beat(epoch=3, unchanged=1))


if __name__ == "__main__":
    unittest.main()
