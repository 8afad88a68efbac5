"""TLS contexts of listeners and peer connections."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gypsumvane_daemon.settings import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context of a listener, None without TLS.

    With an authority file, clients must present a certificate of that authority.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    if settings.authority_file:
        context.load_verify_locations(settings.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context of outgoing peer connections, None without TLS."""
    if settings is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=settings.authority_file or None
    )
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context
