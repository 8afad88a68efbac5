"""Idempotency keys that only the issuing daemon process runs."""

from __future__ import annotations

import hmac
import re
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

RESERVED_PREFIX = "r1:"
_PATTERN = re.compile(
    r"r1:(?P<vm>[a-z0-9][a-z0-9._-]{0,62}):(?P<incarnation>[0-9a-z]{1,32})"
    r":(?P<sequence>[0-9]{1,15}):(?P<proof>[0-9a-f]{16})"
)


@dataclass(frozen=True, slots=True)
class ReservedKey:
    """Hold the parts of a reserved key: issuing process, sequence number and proof."""

    vm_id: str
    incarnation: str
    sequence: int
    proof: str

    def format(self) -> str:
        """Return the key in the form that callers use."""
        return (
            f"{RESERVED_PREFIX}{self.vm_id}:{self.incarnation}"
            f":{self.sequence}:{self.proof}"
        )

    @classmethod
    def parse(cls, key: str) -> ReservedKey | None:
        """Parse a reserved key; None for any other text."""
        match = _PATTERN.fullmatch(key)
        if match is None:
            return None
        return cls(
            vm_id=match["vm"],
            incarnation=match["incarnation"],
            sequence=int(match["sequence"]),
            proof=match["proof"],
        )


class KeyStatus(StrEnum):
    """Name what an issuer knows about a key."""

    UNUSED = "unused"
    USED = "used"
    FORGOTTEN = "forgotten"
    NEVER_ISSUED = "never_issued"


class ReservedKeyIssuer:
    """Issue reserved keys and track which of them were used.

    At most ``used_max`` used keys are kept. Once the oldest is dropped, it and
    every key issued before it are forgotten and never run.
    """

    def __init__(
        self, *, vm_id: str, incarnation: str, secret: bytes, used_max: int
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._secret = secret
        self._used_max = used_max
        self._issued = 0
        self._forgotten_up_to = 0
        self._used: OrderedDict[int, None] = OrderedDict()

    def issue(self) -> str:
        """Return a new key."""
        self._issued += 1
        return ReservedKey(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            sequence=self._issued,
            proof=self._proof(self._issued),
        ).format()

    def owns(self, key: ReservedKey) -> bool:
        """Return whether this process is the issuer that a key names."""
        return key.incarnation == self._incarnation and key.vm_id == self._vm_id

    def status_of(self, key: ReservedKey) -> KeyStatus:
        """Return the status of a key that this process may have issued."""
        proof = self._proof(key.sequence)
        known = 0 < key.sequence <= self._issued
        if not known or not hmac.compare_digest(proof, key.proof):
            return KeyStatus.NEVER_ISSUED
        if key.sequence in self._used:
            return KeyStatus.USED
        if key.sequence <= self._forgotten_up_to:
            return KeyStatus.FORGOTTEN
        return KeyStatus.UNUSED

    def mark_used(self, key: ReservedKey) -> list[int]:
        """Mark a key as used and return the sequence numbers that this drops."""
        self._used[key.sequence] = None
        dropped = []
        while len(self._used) > self._used_max:
            oldest, _ = self._used.popitem(last=False)
            self._forgotten_up_to = max(self._forgotten_up_to, oldest)
            dropped.append(oldest)
        return dropped

    def release(self, key: ReservedKey) -> None:
        """Mark a key as unused after an attempt that certainly did not run."""
        self._used.pop(key.sequence, None)

    def _proof(self, sequence: int) -> str:
        text = f"{self._incarnation}:{sequence}".encode()
        return blake2b(text, key=self._secret, digest_size=8).hexdigest()
