"""Free ports for processes whose addresses must be known before they start."""

from __future__ import annotations

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections, so
# that no connection takes a port between its choice and its use.
PORT_FIRST = 20_000
PORT_LAST = 32_000
_rng = random.SystemRandom()
# A UDP socket bound to the port reserves it against other test harnesses on this
# machine until this process ends. Otherwise the port of a stopped daemon looks free.
_reservations: dict[int, socket.socket] = {}


def free_address(host: str = "127.0.0.1") -> str:
    """Return an address with a free port that was not given out before."""
    while True:
        port = _rng.randint(PORT_FIRST, PORT_LAST)
        if port not in _reservations and can_bind(host, port) and reserve(host, port):
            return f"{host}:{port}"


def reserve(host: str, port: int) -> bool:
    """Reserve a port; return False when another process has reserved it."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((host, port))
    except OSError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return True


def can_bind(host: str, port: int) -> bool:
    """Return whether a TCP port is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
