"""Property tests of decoders and validators on arbitrary input."""

from __future__ import annotations

import contextlib
import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumvane_core.document import parse_body as parse_document
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.partial_body import parse_hit_page
from gypsumvane_daemon.caller_bodies import LookupBody
from gypsumvane_daemon.caller_bodies import RunBody
from gypsumvane_daemon.caller_bodies import SearchBody
from gypsumvane_daemon.caller_error import CallerError
from gypsumvane_daemon.caller_routes import parse_body
from gypsumvane_daemon.peer_codec import LENGTH_BYTES
from gypsumvane_daemon.peer_codec import Frame
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_codec import decode_frame
from gypsumvane_daemon.peer_codec import encode_frame
from gypsumvane_daemon.settings import SettingsError
from gypsumvane_daemon.settings import load_settings

RESULTS = PartialResults(results=[PartialResult(service="s", body=b"x" * 64)])
VALID_FRAME = encode_frame(Frame(body=RESULTS, request_id=7))[LENGTH_BYTES:]
PACKED_FRAME = encode_frame(Frame(body=RESULTS, request_id=7), packed=True)[
    LENGTH_BYTES:
]
JSON_TEXT = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
).map(json.dumps)

settings.register_profile("arbitrary", derandomize=True, deadline=None)
SEEDED = settings(settings.get_profile("arbitrary"), max_examples=300)


class ArbitraryInputTest(unittest.TestCase):
    """Check that invalid input raises only the declared error."""

    @SEEDED
    @given(data=st.binary(max_size=400))
    @example(data=b"\xff" * 64)
    def test_frames(self, data: bytes) -> None:
        """Guard against a connection task that fails on arbitrary bytes of a peer."""
        for packed in (False, True):
            with contextlib.suppress(FrameError):
                decode_frame(data, packed=packed)

    @SEEDED
    @given(
        place=st.integers(min_value=0, max_value=len(VALID_FRAME) - 1),
        value=st.integers(min_value=0, max_value=255),
    )
    def test_damaged_frames(self, place: int, value: int) -> None:
        """Guard against a damaged pointer that reads beyond the frame."""
        damaged = bytearray(VALID_FRAME)
        damaged[place] = value
        with contextlib.suppress(FrameError):
            decode_frame(bytes(damaged))

    @SEEDED
    @given(
        place=st.integers(min_value=0, max_value=len(PACKED_FRAME) - 1),
        value=st.integers(min_value=0, max_value=255),
    )
    def test_damaged_packed_frames(self, place: int, value: int) -> None:
        """Guard against a damaged tag byte that unpacks beyond the frame."""
        damaged = bytearray(PACKED_FRAME)
        damaged[place] = value
        with contextlib.suppress(FrameError):
            decode_frame(bytes(damaged), packed=True)

    @SEEDED
    @given(body=st.binary(max_size=200) | JSON_TEXT.map(str.encode))
    def test_caller_bodies(self, body: bytes) -> None:
        """Guard against a stack trace for a caller's malformed body."""
        for model in (SearchBody, LookupBody, RunBody):
            with contextlib.suppress(CallerError):
                parse_body(model, body)

    @SEEDED
    @given(body=st.binary(max_size=200) | JSON_TEXT.map(str.encode))
    def test_upstream_bodies(self, body: bytes) -> None:
        """Guard against a query that fails because of one upstream's body."""
        with contextlib.suppress(ValueError):
            parse_hit_page(body)

    @SEEDED
    @given(
        name=st.sampled_from(["fleet", "domains", "index/stock", "move/stock", "x"]),
        body=st.binary(max_size=200) | JSON_TEXT.map(str.encode),
    )
    def test_document_bodies(self, name: str, body: bytes) -> None:
        """Guard against a document that crashes the daemons that read it."""
        with contextlib.suppress(ValueError):
            parse_document(name, body)

    @SEEDED
    @given(text=st.binary(max_size=200))
    def test_settings_files(self, text: bytes) -> None:
        """Guard against a traceback on a malformed settings file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "daemon.toml"
            path.write_bytes(text)
            with self.assertRaises(SettingsError):
                load_settings(path)
