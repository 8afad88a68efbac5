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
    """Settings, incarnation and bound addresses of a daemon process."""

    settings: Settings
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    # Set by the listeners once their ports are bound.
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
