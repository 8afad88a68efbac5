"""Certificate files for tests."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import trustme

from gypsumvane_daemon.settings import TlsSettings

if TYPE_CHECKING:
    import unittest


class CertificateAuthority:
    """Issue certificates for the loopback address."""

    def __init__(self, case: unittest.TestCase) -> None:
        self._folder = Path(case.enterContext(TemporaryDirectory()))
        self._authority = trustme.CA()
        self._authority.cert_pem.write_to_path(self._folder / "ca.pem")
        self._issued = 0

    def issue(self, *, mutual: bool = True) -> TlsSettings:
        """Return settings with a new certificate.

        Mutual settings also name the authority that peers must be signed by.
        """
        self._issued += 1
        certificate = self._authority.issue_cert("127.0.0.1")
        key_file = self._folder / f"key-{self._issued}.pem"
        certificate_file = self._folder / f"cert-{self._issued}.pem"
        certificate.private_key_pem.write_to_path(key_file)
        certificate.cert_chain_pems[0].write_to_path(certificate_file)
        return TlsSettings(
            certificate_file=str(certificate_file),
            key_file=str(key_file),
            authority_file=self.file if mutual else "",
        )

    @property
    def file(self) -> str:
        """Return the file of the authority's certificate."""
        return str(self._folder / "ca.pem")
