"""Encoding of a caller's request for leaves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_daemon.routing.ports import HeaderNames

# Hop-by-hop headers, which apply to a single connection.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that depend on the encoding of the body, which is read and encoded again.
FRAMING_HEADERS = frozenset({"content-length", "expect"})


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """Hold the parts of a request that are the same for every leaf."""

    method: str
    request_id: str
    # Request line and headers, each with its CRLF.
    head: bytes
    body: bytes
    arrived_s: float
    # Earlier of the caller's deadline and the end of the route's time-out.
    deadline_s: float

    def encode_head(self, names: HeaderNames, *, leaf_id: str, now_s: float) -> bytes:
        """Return the head to send to a leaf, with the time left as deadline.

        The body follows it, which all leaves share.
        """
        left_ms = max(1, int((self.deadline_s - now_s) * 1000))
        own = f"{names.deadline_ms}: {left_ms}\r\n{names.expected_leaf}: {leaf_id}\r\n"
        return b"".join((self.head, own.encode("latin-1"), b"\r\n"))


def end_to_end(
    headers: Iterable[tuple[str, str]], *, without: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the end-to-end headers but for those named in without."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = CONNECTION_HEADERS | without | named
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def encode_head(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    names: HeaderNames,
) -> bytes:
    """Return the request line and headers that are the same for every leaf."""
    own = {names.deadline_ms.lower(), names.expected_leaf.lower()}
    kept = end_to_end(headers, without=FRAMING_HEADERS | own)
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in kept]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")
