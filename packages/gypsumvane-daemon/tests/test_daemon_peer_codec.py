"""Tests of the frame codec."""

from __future__ import annotations

import typing
import unittest

from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import Message
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.priority import Priority
from gypsumvane_core.verdict import Verdict
from gypsumvane_daemon.peer_codec import FRAME_BYTES_MAX
from gypsumvane_daemon.peer_codec import LENGTH_BYTES
from gypsumvane_daemon.peer_codec import PACKED_FLAG
from gypsumvane_daemon.peer_codec import Frame
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_codec import decode_frame
from gypsumvane_daemon.peer_codec import decode_header
from gypsumvane_daemon.peer_codec import encode_frame


class PeerCodecTest(unittest.TestCase):
    """Check the round trip of frames and the rejection of invalid ones."""

    def test_every_message_type_round_trips(self) -> None:
        """Guard against a schema that differs from the dataclasses."""
        for cls in typing.get_args(Message):
            frame = Frame(body=cls(), request_id=7, in_reply_to=3, final=False)
            decoded = decode_frame(encode_frame(frame)[LENGTH_BYTES:])
            self.assertEqual(decoded, frame)

    def test_packed_frames_round_trip(self) -> None:
        """Guard against a heartbeat that differs after packing."""
        heartbeat = Heartbeat(
            epoch=9, confirmation_age_ms=120, promise=True, gone=["a", "b"]
        )
        for cls in typing.get_args(Message):
            body = heartbeat if cls is Heartbeat else cls()
            frame = Frame(body=body, request_id=7, in_reply_to=3, final=False)
            data = encode_frame(frame, packed=True)
            header = decode_header(data[:LENGTH_BYTES])
            self.assertTrue(header.packed)
            self.assertEqual(header.length, len(data) - LENGTH_BYTES)
            self.assertEqual(decode_frame(data[LENGTH_BYTES:], packed=True), frame)

    def test_packed_frame_above_the_unpacked_limit_is_refused(self) -> None:
        """Guard against a small frame that exhausts the memory of its receiver."""
        # One segment of 2**27 words (1 GiB), all zero.
        segments = b"\x80" + b"\x08"
        zeros = b"\x00\xff" * (FRAME_BYTES_MAX // 2 - 1)
        with self.assertRaises(FrameError):
            decode_frame(segments + zeros, packed=True)

    def test_head_of_an_oversized_frame_is_refused(self) -> None:
        """Guard against a length prefix above the frame size limit."""
        for flag in (0, PACKED_FLAG):
            prefix = (FRAME_BYTES_MAX + 1) | flag
            with self.assertRaises(FrameError):
                decode_header(prefix.to_bytes(LENGTH_BYTES, "little"))

    def test_enumeration_members_are_sent_as_plain_values(self) -> None:
        """Guard against a batch that cannot be sent because of its priority."""
        batch = PartialBatch(priority=Priority.LOOKUP, route=Verdict.RAN)
        decoded = decode_frame(encode_frame(Frame(body=batch))[LENGTH_BYTES:])
        self.assertEqual(decoded.body, batch)

    def test_truncated_frames_are_refused(self) -> None:
        """Guard against an unexpected exception on a truncated frame."""
        results = [PartialResult(body=b"x" * 64, service="s") for _ in range(3)]
        data = encode_frame(Frame(body=PartialResults(results=results)))
        for length in range(0, len(data) - LENGTH_BYTES, 8):
            with self.subTest(length=length):
                with self.assertRaises(FrameError):
                    decode_frame(data[LENGTH_BYTES : LENGTH_BYTES + length])

    def test_oversized_frame_is_not_sent(self) -> None:
        """Guard against sending frames that the receiver must reject."""
        results = [PartialResult(body=b"x" * FRAME_BYTES_MAX)]
        with self.assertRaises(FrameError):
            encode_frame(Frame(body=PartialResults(results=results)))
