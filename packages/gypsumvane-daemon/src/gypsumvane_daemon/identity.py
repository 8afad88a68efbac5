"""The identity of one daemon process."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_daemon.settings import Settings


@dataclass(slots=True)
class DaemonIdentity:
    """Name the VM, its failure domain and this process start."""

    settings: Settings
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    # Filled by the listeners with the bound ports.
    caller_address: str = ""
    peer_address: str = ""
    operator_address: str = ""

    @property
    def vm_id(self) -> str:
        """Return the identifier of the VM."""
        return self.settings.vm.vm_id

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the VM."""
        return self.settings.vm.failure_domain
