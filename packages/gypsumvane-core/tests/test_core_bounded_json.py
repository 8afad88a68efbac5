"""Tests of the decoding of JSON from outside."""

from __future__ import annotations

import json
import unittest

from gypsumvane_core.bounded_json import DEPTH_MAX
from gypsumvane_core.bounded_json import cut_deep_values
from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.bounded_json import decode_json_leniently
from gypsumvane_core.bounded_json import is_bounded

DEEP_LIST = b"[" * 100_000 + b"]" * 100_000
DEEP_MAP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


class BoundedJsonTest(unittest.TestCase):
    """Decode texts that the standard library rejects."""

    def test_odd_entry_hides_no_other(self) -> None:
        """Guard against a list that is lost to one of its entries."""
        for odd in (DEEP_LIST, DEEP_MAP, b"9" * 6000, b"-" + b"9" * 6000):
            with self.subTest(odd[:5]):
                text = b'[{"x":' + odd + b'},{"x":"[{\\"]"},{"x":2}]'
                value = decode_json_leniently(text)
                self.assertEqual(value[1:], [{"x": '[{"]'}, {"x": 2}])
                self.assertEqual([is_bounded(x) for x in value], [False, True, True])

    def test_unreadable_text_hides_no_other_entry(self) -> None:
        """Guard against a list that is lost to a text that is not UTF-8 (CONFIG).

        All reading of the store stopped while such an entry was there (review/2).
        """
        for odd in (b"\xff\xfe", b"\x01", b"\\x", b"\\udcff", b"\\ud800"):
            for entry in (b'{"x":"' + odd + b'"}', b'{"' + odd + b'":1}'):
                for deep in (b"1", DEEP_LIST):
                    with self.subTest(entry, deep=deep[:5]):
                        text = b"[" + entry + b',{"y":' + deep + b'},{"x":"\xc3\xa9"}]'
                        value = decode_json_leniently(text)
                        self.assertEqual(value[2], {"x": "\xe9"})
                        bounded = [is_bounded(part) for part in value]
                        self.assertEqual(bounded, [False, deep == b"1", True])

    def test_strict_decoding_raises_one_error(self) -> None:
        """Guard against an error that no caller expects."""
        for text in (
            DEEP_LIST,
            DEEP_MAP,
            b"9" * 6000,
            b"1e999",
            b"NaN",
            b"{",
            b"\xff",
            b"",
        ):
            with self.subTest(text[:5]), self.assertRaises(ValueError):
                decode_json(text)

    def test_malformed_deep_text(self) -> None:
        """Guard against a malformed text that is taken for a value."""
        for text in (b"[" * 100_000, DEEP_LIST + b"]", b'["' + DEEP_LIST):
            with self.subTest(text[:5]), self.assertRaises(ValueError):
                decode_json_leniently(text)

    def test_text_within_the_bound_is_not_changed(self) -> None:
        text = json.dumps({"a": [{"b": ['"', "\\", "]"]}, "[" * 100]}).encode()
        self.assertEqual(cut_deep_values(text), text)

    def test_depth_of_a_value(self) -> None:
        value: object = 1
        for _ in range(DEPTH_MAX):
            value = [value]
        self.assertTrue(is_bounded(value))
        self.assertFalse(is_bounded({"a": value}))
        self.assertFalse(is_bounded({"a": [float("nan")]}))


if __name__ == "__main__":
    unittest.main()
