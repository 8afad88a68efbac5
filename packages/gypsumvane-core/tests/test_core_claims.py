"""Tests of claim buckets, reserved keys and booking attempts."""

from __future__ import annotations

import unittest

from transitions import MachineError

from gypsumvane_core.booking_machine import BookingAttempt
from gypsumvane_core.claim import RESULT_BYTES_MAX
from gypsumvane_core.claim import RecordedResult
from gypsumvane_core.claim import fingerprint_of
from gypsumvane_core.claim import hash_key
from gypsumvane_core.claim_bucket import BUCKET_BYTES_MAX
from gypsumvane_core.claim_bucket import BucketOwner
from gypsumvane_core.claim_bucket import ClaimBucket
from gypsumvane_core.claim_change import ClaimAnswer
from gypsumvane_core.claim_change import ClaimChange
from gypsumvane_core.claim_change import ClaimWriter
from gypsumvane_core.claim_change import GroupedWrite
from gypsumvane_core.claim_change import RecordRun
from gypsumvane_core.claim_change import ReleaseClaim
from gypsumvane_core.claim_change import TakeClaim
from gypsumvane_core.reserved_key import KeyStatus
from gypsumvane_core.reserved_key import ReservedKey
from gypsumvane_core.reserved_key import ReservedKeyIssuer

RETENTION_S = 100.0


def group_changes(
    bucket: ClaimBucket, *changes: ClaimChange, who: str = "i1", unix_s: float = 0.0
) -> GroupedWrite:
    """Apply changes of one daemon as one grouped write."""
    owner = BucketOwner("vm", who)
    writer = ClaimWriter(owner, RETENTION_S, is_gone=lambda _: False)
    return writer.group(
        bucket,
        changes,
        not_run=frozenset(),
        unix_s=unix_s,
        take_over=False,
        leases_expired=False,
    )


def take(key: str, attempt: str, body: bytes = b"") -> TakeClaim:
    """Return a change that claims a key."""
    return TakeClaim(hash_key(key), fingerprint_of("ledger", "run", body), attempt)


class ClaimBucketTest(unittest.TestCase):
    """Check the effect of several changes in one conditional write."""

    def test_one_write_grants_a_key_once(self) -> None:
        """Guard against granting a key twice in the same write."""
        write = group_changes(ClaimBucket(), take("k", "a1"), take("k", "a2"))
        answers = [decision.answer for decision in write.decisions]
        self.assertEqual(answers, [ClaimAnswer.GRANTED, ClaimAnswer.UNRESOLVED])

    def test_result_survives_the_store_format(self) -> None:
        """Guard against a recorded result that changes when it is stored."""
        result = RecordedResult(200, b'{"a": "\n\xff"}')
        first = group_changes(ClaimBucket(), take("k", "a1")).bucket
        key_hash = hash_key("k")
        record = RecordRun(key_hash, "a1", result)
        stored = ClaimBucket.decode(group_changes(first, record).bucket.encode())
        again = group_changes(
            stored, take("k", "a2"), take("k", "a3", b"other"), who="i2"
        )
        self.assertEqual(again.decisions[0].result, result)
        self.assertEqual(again.decisions[1].answer, ClaimAnswer.REUSED)
        self.assertFalse(again.changed)

    def test_only_the_own_attempt_is_released(self) -> None:
        """Guard against a late release that frees a newer claim."""
        first = group_changes(ClaimBucket(), take("k", "a1")).bucket
        released = group_changes(first, ReleaseClaim(hash_key("k"), "a1")).bucket
        second = group_changes(released, take("k", "a2"), who="i2").bucket
        late = group_changes(second, ReleaseClaim(hash_key("k"), "a1"))
        self.assertFalse(late.changed)

    def test_full_bucket_refuses_and_old_claims_expire(self) -> None:
        """Guard against a bucket too large for the store, or one that stays full."""
        bucket = ClaimBucket()
        result = RecordedResult.bounded(200, b"x" * RESULT_BYTES_MAX)
        number = 0
        while True:
            write = group_changes(bucket, take(f"k{number}", f"a{number}"))
            if write.decisions[0].answer is ClaimAnswer.FULL:
                break
            record = RecordRun(hash_key(f"k{number}"), f"a{number}", result)
            bucket = group_changes(write.bucket, record).bucket
            number += 1
        self.assertGreater(number, 5000)
        self.assertLess(len(bucket.encode()), BUCKET_BYTES_MAX)
        self.assertLessEqual(len(bucket.encode()), bucket.size_bytes)
        later = group_changes(bucket, take("new", "b"), unix_s=RETENTION_S + 1)
        self.assertEqual(later.decisions[0].answer, ClaimAnswer.GRANTED)
        self.assertEqual(len(later.bucket), 1)

    def test_corrupt_value_is_refused(self) -> None:
        """Guard against a corrupt value that is parsed as an empty bucket."""
        for value in (b"", b"[]", b'{"format": 2, "owners": []}', b"{}\nx"):
            with self.subTest(value), self.assertRaises(ValueError):
                ClaimBucket.decode(value)


class ReservedKeyTest(unittest.TestCase):
    """Check what an issuer knows about its keys."""

    def setUp(self) -> None:
        self.issuer = self.issuer_of("i1")
        self.keys = [self.parsed(self.issuer.issue()) for _ in range(5)]

    def issuer_of(self, incarnation: str) -> ReservedKeyIssuer:
        """Return the issuer of one process."""
        return ReservedKeyIssuer(
            vm_id="vm-1", incarnation=incarnation, secret=b"s", used_max=2
        )

    def parsed(self, text: str) -> ReservedKey:
        """Parse a key and check that formatting it returns the same text."""
        key = ReservedKey.parse(text)
        assert key is not None
        self.assertEqual(key.format(), text)
        return key

    def test_forgotten_keys_never_count_as_unused(self) -> None:
        """Guard against a second run of a key that the issuer has dropped."""
        for key in self.keys[1:4]:
            self.issuer.mark_used(key)
        uses = [self.issuer.status_of(key) for key in self.keys]
        forgotten, used = KeyStatus.FORGOTTEN, KeyStatus.USED
        self.assertEqual(uses, [forgotten, forgotten, used, used, KeyStatus.UNUSED])

    def test_forged_keys_are_not_issued(self) -> None:
        """Guard against callers that forge the sequence number of a key."""
        other = self.parsed(self.keys[0].format().replace(":1:", ":2:"))
        self.assertEqual(self.issuer.status_of(other), KeyStatus.NEVER_ISSUED)
        self.assertFalse(self.issuer_of("i2").owns(self.keys[0]))
        self.assertIsNone(ReservedKey.parse("r1:vm-1:i1:x:0"))


class BookingAttemptTest(unittest.TestCase):
    """Check the order of the steps of an attempt."""

    def test_nothing_is_sent_after_a_lost_answer(self) -> None:
        """Guard against a retry of a request that may have run."""
        attempt = BookingAttempt()
        with self.assertRaises(MachineError):
            attempt.send()
        attempt.claim()
        attempt.send()
        attempt.mark_unresolved()
        for step in (attempt.send, attempt.refuse, attempt.abandon):
            with self.assertRaises(MachineError):
                step()
