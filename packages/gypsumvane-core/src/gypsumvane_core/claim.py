"""Claims on idempotency keys, their encoding and hashes."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import Any

from xxhash import xxh64_intdigest

from gypsumvane_core.bounded_json import decode_json

BUCKET_COUNT = 8
RESULT_BYTES_MAX = 4096


class ClaimState(StrEnum):
    """Name the states of a claim in the store."""

    CLAIMED = "claimed"
    RAN = "ran"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class RecordedResult:
    """Hold the answer of a run; the body is None when it was too large to keep."""

    status: int
    body: bytes | None

    @classmethod
    def bounded(cls, status: int, body: bytes) -> RecordedResult:
        """Return a result, without the body if it exceeds RESULT_BYTES_MAX."""
        return cls(status, body if len(body) <= RESULT_BYTES_MAX else None)


@dataclass(frozen=True, slots=True)
class Claim:
    """Record which daemon may run the request of a key, and the outcome."""

    key_hash: str
    fingerprint: str
    holder: str
    attempt: str
    state: ClaimState
    unix_s: float
    result: RecordedResult | None = None

    def encode(self) -> bytes:
        """Return the claim as one line of JSON."""
        fields: list[Any] = [
            self.key_hash,
            self.fingerprint,
            self.holder,
            self.attempt,
            self.state.value,
            round(self.unix_s, 3),
        ]
        if self.result is not None:
            body = self.result.body
            text = None if body is None else base64.b64encode(body).decode()
            fields += [self.result.status, text]
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, line: bytes) -> Claim:
        """Parse one line of JSON.

        Raises ValueError when the line is not a claim.
        """
        fields = decode_json(line)
        if not isinstance(fields, list) or len(fields) not in (6, 8):
            raise ValueError("invalid claim: expected a JSON array of 6 or 8 fields")
        result = None
        if len(fields) == 8:
            text = fields[7]
            body = None if text is None else base64.b64decode(text, validate=True)
            result = RecordedResult(int(fields[6]), body)
        return cls(
            key_hash=str(fields[0]),
            fingerprint=str(fields[1]),
            holder=str(fields[2]),
            attempt=str(fields[3]),
            state=ClaimState(fields[4]),
            unix_s=float(fields[5]),
            result=result,
        )


def bucket_of(key: str) -> int:
    """Return the number of the bucket that holds the claims on a key."""
    return xxh64_intdigest(key.encode()) % BUCKET_COUNT


def bucket_store_key(bucket: int) -> str:
    """Return the store key of a bucket; its home is the home of this key."""
    return f"claims/{bucket}"


def hash_key(key: str) -> str:
    """Return the hash that identifies a key in claims."""
    return blake2b(key.encode(), digest_size=16).hexdigest()


def fingerprint_of(index: str, route: str, body: bytes) -> str:
    """Return a hash of a request; reuse of a key for another request changes it."""
    digest = blake2b(digest_size=16)
    for part in (index.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.hexdigest()
