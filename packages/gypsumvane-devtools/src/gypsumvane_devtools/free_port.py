"""Ports for processes whose address others must know before they start."""

from __future__ import annotations

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections, so
# that no connection takes a port between its choice and its use.
PORT_FIRST = 20_000
PORT_LAST = 32_000
_draw = random.SystemRandom()
_given: set[int] = set()


def free_address(host: str = "127.0.0.1") -> str:
    """Return an address with a free port that was not given out before."""
    while True:
        port = _draw.randint(PORT_FIRST, PORT_LAST)
        if port not in _given and can_bind(host, port):
            _given.add(port)
            return f"{host}:{port}"


def can_bind(host: str, port: int) -> bool:
    """Tell whether a port is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
