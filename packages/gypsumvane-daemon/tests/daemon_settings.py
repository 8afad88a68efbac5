"""Settings of daemons under test."""

from __future__ import annotations

from typing import Any

from gypsumvane_daemon.settings import Settings

TOKEN = "operator-token"
# No process listens on this port.
UNREACHABLE_ADDRESS = "127.0.0.1:1"


def daemon_settings(vm_id: str = "vm-1", **changes: dict[str, Any]) -> Settings:
    """Return settings with listeners on free ports, changed by section."""
    values: dict[str, dict[str, Any]] = {
        "vm": {"vm_id": vm_id, "failure_domain": "a"},
        "callers": {"address": "127.0.0.1:0"},
        "peers": {"address": "127.0.0.1:0"},
        "operators": {"address": "127.0.0.1:0", "token": TOKEN},
        "platform": {
            "store_address": UNREACHABLE_ADDRESS,
            "live_list_address": UNREACHABLE_ADDRESS,
        },
    }
    for section, change in changes.items():
        values[section] = {**values.get(section, {}), **change}
    return Settings.model_validate(values)
