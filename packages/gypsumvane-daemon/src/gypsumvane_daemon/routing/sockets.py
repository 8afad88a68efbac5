"""TCP sockets that detect a silent peer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from aiohttp import ClientSession
from aiohttp import DummyCookieJar

from gypsumvane_daemon.bounded_response import BoundedConnector

if TYPE_CHECKING:
    from aiohttp.connector import AddrInfoType

# A peer may go silent without a reset. The connection is then closed after at most
# KEEPALIVE_IDLE_S + KEEPALIVE_PROBES x KEEPALIVE_INTERVAL_S, which leaves time to
# reconnect before a VM that is reachable again counts as healthy.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time after which a connection with unacknowledged data is closed.
USER_TIMEOUT_MS = 3000
# Largest answer of a peer, which has all objects of a kind.
ANSWER_BYTES_MAX = 8 * 2**20
# Idle time after which a connection is closed.
IDLE_TIMEOUT_S = 15.0


def keepalive_socket(address: AddrInfoType) -> socket.socket:
    """Create a socket that closes its connection when the peer is silent."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def close_idle_connections(session: ClientSession, address: str) -> None:
    """Close a session's idle connections to an address after a call without an answer.

    All connections from before an outage may be silent for good while new ones work.
    Each of them would cost a later call its whole time-out.
    """
    if isinstance(session.connector, BoundedConnector):
        session.connector.close_idle(address)


def keepalive_session(
    *, skip_auto_headers: tuple[str, ...] = (), bytes_max: int = ANSWER_BYTES_MAX
) -> ClientSession:
    """Create an HTTP session on keepalive sockets, for calls to the store or peers."""
    return ClientSession(
        connector=BoundedConnector(
            bytes_max=bytes_max,
            keepalive_timeout=IDLE_TIMEOUT_S,
            socket_factory=keepalive_socket,
        ),
        cookie_jar=DummyCookieJar(),
        skip_auto_headers=skip_auto_headers,
    )
