"""Flags that all commands share."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from gypsumvane_cli.errors import usage_error

if TYPE_CHECKING:
    from collections.abc import Mapping

    from absl.flags import FlagValues

TOKEN_VARIABLE = "GYPSUMVANE_TOKEN"


@dataclass(frozen=True, slots=True)
class Options:
    """Parsed values of the shared flags."""

    addresses: list[str]
    token: str
    output: str
    timeout_s: float
    tls_authority_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""


def define_options(values: FlagValues) -> None:
    """Define the flags that all commands share."""
    flags.DEFINE_multi_string(
        "operator_address",
        [],
        "host:port of the operator listener of a daemon; repeat for several, "
        "which are tried in order",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token_file",
        "",
        f"file with the token; defaults to the variable {TOKEN_VARIABLE}",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output", "table", ["table", "json"], "output format", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s",
        10.0,
        "timeout of each request, in seconds",
        lower_bound=0.1,
        flag_values=values,
    )
    for name, text in (
        ("tls_authority_file", "certificate of the trusted authority; enables HTTPS"),
        ("tls_certificate_file", "client certificate of the operator"),
        ("tls_key_file", "private key of the client certificate"),
    ):
        flags.DEFINE_string(name, "", text, flag_values=values)


def read_options(values: FlagValues, environment: Mapping[str, str]) -> Options:
    """Return the parsed options.

    Raises CommandError when the address or the token is missing.
    """
    parsed: dict[str, Any] = values.flag_values_dict()
    addresses = [
        address
        for item in parsed["operator_address"]
        for address in item.split(",")
        if address
    ]
    if not addresses:
        raise usage_error("--operator_address is missing")
    return Options(
        addresses=addresses,
        token=_read_token(parsed["token_file"], environment),
        output=parsed["output"],
        timeout_s=parsed["timeout_s"],
        tls_authority_file=parsed["tls_authority_file"],
        tls_certificate_file=parsed["tls_certificate_file"],
        tls_key_file=parsed["tls_key_file"],
    )


def _read_token(path: str, environment: Mapping[str, str]) -> str:
    if not path:
        token = environment.get(TOKEN_VARIABLE, "")
        if not token:
            raise usage_error(f"neither --token_file nor {TOKEN_VARIABLE} is set")
        return token
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{path}: cannot read the token: {error}") from error


def current_user() -> str:
    """Return the user name that is recorded as the author of a change."""
    return os.environ.get("USER") or os.environ.get("LOGNAME") or "operator"
