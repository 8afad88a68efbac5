"""One daemon of a cluster."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.free_port import free_address
from gypsumvane_devtools.managed_process import ManagedProcess
from gypsumvane_devtools.toml_text import to_toml

if TYPE_CHECKING:
    from pathlib import Path

OPERATOR_TOKEN = "harness-token"
DAEMON_MODULE = "gypsumvane_daemon.main"


@dataclass(frozen=True, slots=True)
class DaemonAddresses:
    """Hold the addresses of a daemon's listeners."""

    callers: str
    peers: str
    operators: str
    # Address that peers connect to; differs from `peers` behind a proxy.
    advertised_peers: str


class DaemonProcess:
    """Configure and run one daemon at fixed addresses."""

    def __init__(self, vm_id: str, failure_domain: str, directory: Path) -> None:
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        peers = free_address()
        self.addresses = DaemonAddresses(free_address(), peers, free_address(), peers)
        self.settings: dict[str, dict[str, Any]] = {}
        self._directory = directory
        self.process = ManagedProcess(vm_id, directory)

    def advertise_peers(self, address: str) -> None:
        """Advertise another address to peers, such as that of a proxy."""
        old = self.addresses
        self.addresses = DaemonAddresses(old.callers, old.peers, old.operators, address)

    def configure(
        self,
        *,
        store_address: str,
        live_list_address: str,
        seed_addresses: list[str],
        overrides: dict[str, dict[str, Any]],
    ) -> None:
        """Set the contents of the settings file."""
        addresses = self.addresses
        self.settings = {
            "vm": {"vm_id": self.vm_id, "failure_domain": self.failure_domain},
            "callers": {"address": addresses.callers},
            "peers": {
                "address": addresses.peers,
                "advertised_address": addresses.advertised_peers,
            },
            "operators": {"address": addresses.operators, "token": OPERATOR_TOKEN},
            "platform": {
                "store_address": store_address,
                "live_list_address": live_list_address,
            },
            "membership": {"seed_addresses": seed_addresses},
        }
        for table, values in overrides.items():
            self.settings.setdefault(table, {}).update(values)

    async def start(self) -> None:
        """Write the settings and start the process."""
        await self.process.start(DAEMON_MODULE, "--settings", self.write_settings())

    def write_settings(self) -> str:
        """Write the settings and return the path of their file."""
        path = self._directory / f"{self.vm_id}.toml"
        path.write_text(to_toml(self.settings), encoding="utf-8")
        return str(path)
