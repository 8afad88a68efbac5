"""The content of one claim bucket in the store."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.claim import Claim
from gypsumvane_core.claim import ClaimState
from gypsumvane_core.claim import RecordedResult

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# The store accepts values up to 1 MB.
BUCKET_BYTES_MAX = 1_000_000
# New claims are refused above this size, so that the outcome of each claim still
# fits.
CLAIM_BYTES_MAX = 900_000
HEADER_BYTES_MAX = 4096
# A change of owner is refused if more former owners than this may hold a lease.
FORMER_OWNERS_MAX = 16
# Covers the growth of a claim's line by a status without a body.
OUTCOME_BYTES = 16


@dataclass(frozen=True, slots=True, order=True)
class BucketOwner:
    """Name the daemon that may serve a bucket from its cached copy."""

    vm_id: str = ""
    incarnation: str = ""


@dataclass(slots=True)
class ClaimBucket:
    """Hold the claims of a bucket by key hash, oldest first."""

    owner: BucketOwner = field(default_factory=BucketOwner)
    # Former owners whose leases may still run.
    former_owners: tuple[BucketOwner, ...] = ()
    _claims: dict[str, Claim] = field(default_factory=dict)
    _lines: dict[str, bytes] = field(default_factory=dict)
    _bytes: int = HEADER_BYTES_MAX

    def __iter__(self) -> Iterator[Claim]:
        return iter(self._claims.values())

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def size_bytes(self) -> int:
        """Return an upper bound of the encoded size."""
        return self._bytes

    def copy(self) -> ClaimBucket:
        """Return an independent copy."""
        return ClaimBucket(
            self.owner,
            self.former_owners,
            dict(self._claims),
            dict(self._lines),
            self._bytes,
        )

    def change_owner(
        self, owner: BucketOwner, *, is_gone: Callable[[BucketOwner], bool]
    ) -> None:
        """Set the owner and keep former owners whose lease may still run.

        Raises ValueError when more than FORMER_OWNERS_MAX of them remain.
        """
        if owner == self.owner:
            return
        before = {self.owner, *self.former_owners} - {owner, BucketOwner()}
        kept = tuple(sorted(other for other in before if not is_gone(other)))
        if len(kept) > FORMER_OWNERS_MAX:
            raise ValueError(
                f"claim bucket has {len(kept)} former owners, "
                f"at most {FORMER_OWNERS_MAX} are allowed"
            )
        self.owner = owner
        self.former_owners = kept

    def get(self, key_hash: str) -> Claim | None:
        """Return the claim on a key."""
        return self._claims.get(key_hash)

    def put(self, claim: Claim) -> None:
        """Add or replace the claim on a key."""
        self.remove(claim.key_hash)
        line = claim.encode()
        self._claims[claim.key_hash] = claim
        self._lines[claim.key_hash] = line
        self._bytes += len(line) + 1

    def remove(self, key_hash: str) -> None:
        """Remove the claim on a key, if any."""
        if self._claims.pop(key_hash, None) is not None:
            self._bytes -= len(self._lines.pop(key_hash)) + 1

    def has_room_for(self, claim: Claim) -> bool:
        """Return whether a new claim fits."""
        return self._bytes + len(claim.encode()) + OUTCOME_BYTES < CLAIM_BYTES_MAX

    def record(self, claim: Claim, result: RecordedResult, unix_s: float) -> None:
        """Mark a claim as run; the body is omitted when it does not fit."""
        ran = replace(claim, state=ClaimState.RAN, unix_s=unix_s, result=result)
        grown = len(ran.encode()) - len(claim.encode())
        if self._bytes + grown >= CLAIM_BYTES_MAX:
            ran = replace(ran, result=RecordedResult(result.status, None))
        self.put(ran)

    def expire(self, before_unix_s: float) -> int:
        """Remove claims from before a time and return their number."""
        old = [c.key_hash for c in self if c.unix_s < before_unix_s]
        for key_hash in old:
            self.remove(key_hash)
        return len(old)

    def drop_bodies(self, until_bytes: int) -> None:
        """Drop the bodies of the oldest results until the size is at most this."""
        for claim in list(self._claims.values()):
            if self._bytes <= until_bytes:
                return
            if claim.result is not None and claim.result.body is not None:
                bare = replace(claim, result=RecordedResult(claim.result.status, None))
                self._replace_in_place(bare)

    def encode(self) -> bytes:
        """Return the bucket as a store value."""
        owners = [
            [owner.vm_id, owner.incarnation]
            for owner in (self.owner, *self.former_owners)
        ]
        header = json.dumps({"format": 1, "owners": owners}, separators=(",", ":"))
        return b"\n".join([header.encode(), *self._lines.values()])

    @classmethod
    def decode(cls, value: bytes) -> ClaimBucket:
        """Parse a store value.

        Raises ValueError when the value is not a bucket.
        """
        head, *lines = value.split(b"\n")
        header = decode_json(head)
        if (
            not isinstance(header, dict)
            or header.get("format") != 1
            or "owners" not in header
        ):
            raise ValueError(
                "unknown claim bucket format, expected format 1 with owners"
            )
        owner, *former = (BucketOwner(*map(str, pair)) for pair in header["owners"])
        bucket = cls(owner, tuple(former))
        for line in lines:
            bucket.put(Claim.decode(line))
        return bucket

    def _replace_in_place(self, claim: Claim) -> None:
        line = claim.encode()
        self._bytes += len(line) - len(self._lines[claim.key_hash])
        self._claims[claim.key_hash] = claim
        self._lines[claim.key_hash] = line
