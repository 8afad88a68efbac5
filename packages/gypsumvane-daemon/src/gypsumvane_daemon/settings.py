"""Validated settings of a daemon, read from a TOML file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from gypsumvane_core.document_models import Address
from gypsumvane_core.document_models import Name

if TYPE_CHECKING:
    from pathlib import Path


class SettingsError(Exception):
    """Report a settings file that cannot be used."""


class SettingsModel(BaseModel):
    """Reject unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsSettings(SettingsModel):
    """Name the files of a certificate, its key and the trusted authority."""

    certificate_file: str
    key_file: str
    authority_file: str = ""


class VmSettings(SettingsModel):
    """Identify the VM of the daemon."""

    vm_id: Name
    failure_domain: Name
    region: Name = "local"
    cluster: Name = "gypsumvane"


class ListenerSettings(SettingsModel):
    """Give the address of a listener; port 0 picks a free port."""

    address: Address
    advertised_address: Address | None = None
    tls: TlsSettings | None = None


class OperatorSettings(ListenerSettings):
    """Give the address and the token of the operators' listener."""

    token: Annotated[str, Field(min_length=8)]


class PlatformSettings(SettingsModel):
    """Give the addresses of the platform's services."""

    store_address: Address
    live_list_address: Address
    store_timeout_ms: int = Field(default=1000, ge=10, le=60_000)
    store_watch_wait_ms: int = Field(default=500, ge=10, le=60_000)
    store_pause_first_ms: int = Field(default=100, ge=1, le=60_000)
    store_pause_max_ms: int = Field(default=2000, ge=1, le=600_000)
    store_resolve_ms: int = Field(default=3000, ge=10, le=600_000)
    live_list_interval_ms: int = Field(default=1000, ge=50, le=60_000)
    store_watchers_per_domain: int = Field(default=2, ge=1, le=100)


class MembershipSettings(SettingsModel):
    """Set the intervals of heartbeats and the validity of confirmations."""

    heartbeat_interval_ms: int = Field(default=500, ge=10, le=10_000)
    suspect_after_ms: int = Field(default=1500, ge=50, le=60_000)
    confirmation_validity_ms: int = Field(default=2000, ge=100, le=60_000)
    leaf_call_max_ms: int = Field(default=1000, ge=10, le=10_000)
    takeover_margin_ms: int = Field(default=500, ge=10, le=10_000)
    seed_addresses: list[Address] = []


class EntrySettings(SettingsModel):
    """Set how long callers keep a list of entry addresses."""

    keep_ms: int = Field(default=10_000, ge=100, le=600_000)


class LoggingSettings(SettingsModel):
    """Set the lowest level that is logged."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class Settings(SettingsModel):
    """Hold all settings of a daemon."""

    vm: VmSettings
    callers: ListenerSettings
    peers: ListenerSettings
    operators: OperatorSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    entry: EntrySettings = EntrySettings()
    logging: LoggingSettings = LoggingSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises SettingsError with one line that names file, key and rule.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    try:
        return Settings.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{path}: key {key}: {first['msg']}") from error
