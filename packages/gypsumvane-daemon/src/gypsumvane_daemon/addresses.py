"""Parsing of addresses of the form HOST:PORT."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; the brackets of an IPv6 host are stripped.

    Raises ValueError if the text is not HOST:PORT with a numeric port.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"expected HOST:PORT, got {address!r}")
    return host.strip("[]"), int(port)
