"""Confirmation that no view newer than the known one exists."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumvane_core.view import View


@dataclass(slots=True)
class StoreConfirmation:
    """Hold the latest time at which the store had no newer view."""

    at_s: float | None = None

    def record(self, at_s: float) -> None:
        """Record a time at which the store's epoch was not above the known one."""
        if self.at_s is None or at_s > self.at_s:
            self.at_s = at_s

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the confirmation, None without one."""
        return None if self.at_s is None else now_s - self.at_s


@dataclass(frozen=True, slots=True)
class PeerPromise:
    """Record the last promise of a peer and the epoch it was given for."""

    epoch: int
    # Local time at which the answered request was sent.
    sent_at_s: float


@dataclass(slots=True)
class PeerConfirmation:
    """Hold the promises of the members, used while the store is down."""

    records: dict[str, PeerPromise] = field(default_factory=dict)

    def record(
        self, incarnation: str, *, epoch: int, promise: bool, sent_at_s: float
    ) -> None:
        """Record the answer of a peer; answers without a promise are ignored."""
        if not promise:
            return
        known = self.records.get(incarnation)
        if known is None or (epoch, sent_at_s) > (known.epoch, known.sent_at_s):
            self.records[incarnation] = PeerPromise(epoch=epoch, sent_at_s=sent_at_s)

    def is_valid(
        self,
        view: View,
        *,
        own: str,
        gone: Mapping[str, float],
        now_s: float,
        validity_s: float,
        gone_grace_s: float,
    ) -> bool:
        """Return whether every other live member confirms the epoch.

        A gone member is skipped only if it confirmed the epoch shortly before
        it was found gone. Otherwise it may have written a newer view in
        between, and a daemon that was partitioned for long would confirm its
        old view on its own once all other members were replaced.
        """
        for member in view.members:
            if member.incarnation == own:
                continue
            record = self.records.get(member.incarnation)
            if record is None or record.epoch != view.epoch:
                return False
            gone_at_s = gone.get(member.incarnation)
            if gone_at_s is not None:
                if gone_at_s - record.sent_at_s > gone_grace_s:
                    return False
            elif now_s - record.sent_at_s > validity_s:
                return False
        return True
