"""Tests of the settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from gypsumvane_daemon.settings import SettingsError
from gypsumvane_daemon.settings import load_settings

VALID = """
[vm]
vm_id = "vm-1"
failure_domain = "fd-a"
[callers]
address = "127.0.0.1:0"
[peers]
address = "127.0.0.1:0"
[operators]
address = "127.0.0.1:0"
token = "0123456789"
[platform]
store_address = "127.0.0.1:1"
live_list_address = "127.0.0.1:2"
"""


class SettingsTest(unittest.TestCase):
    """Check that invalid settings are reported in one line."""

    def load(self, text: str) -> None:
        """Write the text to a file and load it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "daemon.toml"
            path.write_text(text, encoding="utf-8")
            load_settings(path)

    def test_valid_settings_load(self) -> None:
        """Guard against a rule that refuses valid settings."""
        self.load(VALID)

    def test_errors_name_file_key_and_rule(self) -> None:
        """Guard against a start with invalid settings and unclear errors."""
        cases = {
            "vm.vm_size": VALID.replace("[vm]", "[vm]\nvm_size = 1"),
            "callers.address": VALID.replace('"127.0.0.1:0"', '"localhost:0"', 1),
            "entry.keep_ms": VALID + '[entry]\nkeep_ms = "10s"\n',
            "operators.token": VALID.replace("0123456789", "short"),
        }
        for key, text in cases.items():
            with self.subTest(key=key):
                with self.assertRaises(SettingsError) as caught:
                    self.load(text)
                message = str(caught.exception)
                self.assertIn("daemon.toml", message)
                self.assertIn(f"key {key}:", message)
                self.assertNotIn("\n", message)

    def test_invalid_toml(self) -> None:
        """Guard against a traceback on a malformed file."""
        with self.assertRaisesRegex(SettingsError, "not valid TOML"):
            self.load("[vm\n")
