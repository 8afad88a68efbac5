"""Addresses in the form HOST:PORT."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; an IPv6 host loses its brackets.

    Raises ValueError.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{address!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
