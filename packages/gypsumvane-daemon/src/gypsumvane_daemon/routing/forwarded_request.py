"""A caller's request in the form that is sent to leaves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_daemon.routing.ports import HeaderNames

# Headers that concern one connection only.
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
# Set anew from the body that was read.
FRAMING_HEADERS = frozenset({"content-length", "expect"})


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """Hold what is the same for each leaf that a request is sent to."""

    method: str
    request_id: str
    # Request line and headers, each ended by CR LF.
    head: bytes
    body: bytes
    arrived_s: float
    # When the caller stops waiting or the route's timeout ends.
    deadline_s: float

    def encode(self, names: HeaderNames, *, leaf_id: str, now_s: float) -> bytes:
        """Return the bytes for one leaf."""
        left_ms = max(1, int((self.deadline_s - now_s) * 1000))
        own = f"{names.deadline_ms}: {left_ms}\r\n{names.expected_leaf}: {leaf_id}\r\n"
        return b"".join((self.head, own.encode("latin-1"), b"\r\n", self.body))


def end_to_end(
    headers: Iterable[tuple[str, str]], *, without: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers that are passed on."""
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
    """Return the request line and the headers that are passed on."""
    own = {names.deadline_ms.lower(), names.expected_leaf.lower()}
    kept = end_to_end(headers, without=FRAMING_HEADERS | own)
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in kept]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")
