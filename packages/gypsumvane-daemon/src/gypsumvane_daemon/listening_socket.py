"""Listening sockets whose connections hold a bounded part of the kernel's memory."""

from __future__ import annotations

import socket

# Buffers of a connection in the kernel, which doubles them. Without these bounds they
# grow to several MB for a client that does not read, or whose bytes are not read.
BUFFER_BYTES = 131_072


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address; port 0 picks a free one.

    Raises OSError.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections that are accepted inherit both.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
