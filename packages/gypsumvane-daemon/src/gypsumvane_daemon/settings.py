"""Settings of a daemon, read from a TOML file and validated."""

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
    """Raised for a settings file that cannot be read or is invalid."""


class SettingsModel(BaseModel):
    """Base of the settings models, which reject unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsSettings(SettingsModel):
    """Files of a certificate, its key and the trusted certificate authority."""

    certificate_file: str
    key_file: str
    authority_file: str = ""


class VmSettings(SettingsModel):
    """Identity and location of the daemon's VM."""

    vm_id: Name
    failure_domain: Name
    region: Name = "local"
    cluster: Name = "gypsumvane"


class ListenerSettings(SettingsModel):
    """Address of a listener; port 0 selects a free port."""

    address: Address
    advertised_address: Address | None = None
    tls: TlsSettings | None = None


class OperatorSettings(ListenerSettings):
    """Address and bearer token of the operator listener."""

    token: Annotated[str, Field(min_length=8)]


class PlatformSettings(SettingsModel):
    """Addresses of the platform's services and timing of their calls."""

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
    """Timing of heartbeats, suspicion, confirmations and takeovers."""

    heartbeat_interval_ms: int = Field(default=500, ge=10, le=10_000)
    suspect_after_ms: int = Field(default=1500, ge=50, le=60_000)
    confirmation_validity_ms: int = Field(default=2000, ge=100, le=60_000)
    leaf_call_max_ms: int = Field(default=1000, ge=10, le=10_000)
    takeover_margin_ms: int = Field(default=500, ge=10, le=10_000)
    seed_addresses: list[Address] = []


class EntrySettings(SettingsModel):
    """How long callers cache a list of entry addresses."""

    keep_ms: int = Field(default=10_000, ge=100, le=600_000)


class ProcessSettings(SettingsModel):
    """Memory of the daemon's process and the descriptors that it may open."""

    memory_mb: int = Field(default=300, ge=64, le=1_048_576)
    descriptors_max: int = Field(default=4100, ge=256, le=1_048_576)


class LoggingSettings(SettingsModel):
    """Lowest level that is logged."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class Settings(SettingsModel):
    """All settings of a daemon."""

    vm: VmSettings
    callers: ListenerSettings
    peers: ListenerSettings
    operators: OperatorSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    entry: EntrySettings = EntrySettings()
    process: ProcessSettings = ProcessSettings()
    logging: LoggingSettings = LoggingSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises SettingsError with one line that names the file, the key and the rule.
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
