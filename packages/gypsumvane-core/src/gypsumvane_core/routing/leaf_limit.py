"""Limit on the requests to a leaf that names how many it takes from all daemons."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Share of the limit that is used, because daemons may disagree for a while about which
# of them divide it.
LIMIT_USED_SHARE = 0.9
# Requests that a daemon may send at once after it sent none for a while: one, and its
# part of the limit for this time.
BURST_S = 0.5
# Lower limits are taken for this one, or a leaf that takes nothing now would never be
# asked again.
LIMIT_MIN_PER_S = 0.25
# Part of the limit that the daemons without a part use together to learn whether it
# still holds, and the shortest time between two such requests of one daemon.
PROBE_SHARE = 0.1
PROBE_INTERVAL_MIN_S = 4.0
# Part of the interval in which a daemon may send such a request, so that daemons do
# not save them up and send them together.
PROBE_SLOT = 0.03
# Number of daemons that divide a limit: these, and so many for each request a second.
# More would send too many at once after a pause.
HOLDERS_MIN = 3
HOLDERS_PER_REQUEST = 1.2
# Half-life of the observed rate of requests of one rank.
DEMAND_HALF_LIFE_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitPart:
    """Hold one daemon's part of a leaf's limit."""

    rate_per_s: float
    # Whether the daemon sends only to learn whether the limit still holds.
    probes_only: bool = False

    @property
    def burst(self) -> float:
        """Return the most requests that may be sent at once."""
        return 1.0 + BURST_S * self.rate_per_s


def divide_limit(
    limit_per_s: float, leaf_id: str, own: str, names: Iterable[str]
) -> LimitPart:
    """Return the part of one of the daemons that callers are sent to.

    Load: a fleet of tens of daemons and a leaf that takes a few requests a second.
    Equal parts would be fractions of a request, which all daemons may save up and
    send at once; the limit is divided among few of them, other ones for each leaf.
    """
    limit_per_s = max(limit_per_s, LIMIT_MIN_PER_S)
    ranked = sorted(names, key=lambda name: _weight(leaf_id, name), reverse=True)
    # The limit may be so large that the product is infinite.
    count = min(len(ranked), HOLDERS_MIN + HOLDERS_PER_REQUEST * limit_per_s)
    holders = ranked[: int(count)]
    if own in holders:
        return LimitPart(limit_per_s * LIMIT_USED_SHARE / len(holders))
    others = max(1, len(ranked) - len(holders))
    probe_rate = limit_per_s * PROBE_SHARE / others
    return LimitPart(min(1 / PROBE_INTERVAL_MIN_S, probe_rate), probes_only=True)


def _weight(leaf_id: str, name: str) -> bytes:
    return blake2b(f"{leaf_id}/{name}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class _Demand:
    """Moving average of the requests of one rank."""

    rate_per_s: float = 0.0
    updated_s: float = 0.0

    def rate_at(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return float(self.rate_per_s * 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S))

    def add(self, now_s: float) -> None:
        # Keeps the average at the rate of evenly spaced requests.
        self.rate_per_s = self.rate_at(now_s) + log(2) / DEMAND_HALF_LIFE_S
        self.updated_s = now_s


@dataclass(slots=True)
class LeafLimit:
    """Admit one daemon's requests to a limited leaf, urgent kinds first.

    Load: more requests of several kinds than the leaf takes. What the more urgent
    kinds ask for is kept free for them; the others get the rest.
    """

    part: LimitPart
    filled_s: float
    # Places the probes of this daemon in time; random, from 0 to 1.
    phase: float = 0.0
    tokens: float = 0.0
    # Tokens for requests of each rank, beside the common ones.
    _rank_tokens: dict[int, float] = field(default_factory=dict)
    _demand: dict[int, _Demand] = field(default_factory=dict)

    def accepts(self, rank: int, now_s: float) -> bool:
        """Return whether a request of a rank may be sent now."""
        self._fill(now_s)
        if self.part.probes_only:
            position = (now_s * self.part.rate_per_s + self.phase) % 1
            return self.tokens >= 1 and position < PROBE_SLOT
        return self.tokens >= 1 and self._rank_tokens.get(rank, 1.0) >= 1

    def note_demand(self, rank: int, now_s: float) -> None:
        """Count a request of a rank that the leaf could serve, sent to it or not."""
        self._demand.setdefault(rank, _Demand(updated_s=now_s)).add(now_s)

    def take(self, rank: int, now_s: float) -> None:
        """Count a request that is sent."""
        self._fill(now_s)
        self.tokens -= 1
        self._rank_tokens[rank] = self._rank_tokens.get(rank, 1.0) - 1

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        rate_per_s = self.part.rate_per_s
        self.tokens = min(self.part.burst, self.tokens + elapsed_s * rate_per_s)
        for rank, tokens in self._rank_tokens.items():
            left_per_s = rate_per_s - self._more_urgent_per_s(rank, now_s)
            gained = elapsed_s * max(0.0, left_per_s)
            self._rank_tokens[rank] = min(self.part.burst, tokens + gained)

    def _more_urgent_per_s(self, rank: int, now_s: float) -> float:
        return sum(
            demand.rate_at(now_s)
            for other, demand in self._demand.items()
            if other < rank
        )
