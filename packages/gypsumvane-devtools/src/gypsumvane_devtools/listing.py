"""Generated listings and their search."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import cache
from functools import lru_cache

from xxhash import xxh64_intdigest

from gypsumvane_devtools.leaf_settings import ListingKind

EQUIPMENT_WORDS = (
    "line array speaker subwoofer monitor mixer digital analogue stage box cable "
    "xlr powercon multicore microphone wireless handheld stand truss rack"
)
ROOM_WORDS = (
    "room flat studio sunny quiet balcony garden centre zagreb split rijeka osijek "
    "furnished shared tram university sea view parking pets"
)
WORDS = {
    ListingKind.EQUIPMENT: EQUIPMENT_WORDS.split(),
    ListingKind.ROOMS: ROOM_WORDS.split(),
}
WORDS_PER_TITLE = 4


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one entry of a listing."""

    record_id: str
    title: str
    words: frozenset[str]


@dataclass(frozen=True, slots=True)
class Hit:
    """Hold a record that matches a query."""

    id: str
    score: float
    title: str
    snapshot: int


@dataclass(frozen=True, slots=True)
class HitPage:
    """Hold the best hits and the number of all hits."""

    hits: list[Hit]
    total: int


@dataclass(frozen=True)
class Listing:
    """Generate records and search them; equal fields give equal records."""

    index: str
    kind: ListingKind
    size: int
    seed: int

    def search(self, query: str, *, snapshot: int, limit: int) -> HitPage:
        """Search the whole listing, as the merged result of all services."""
        return rank(all_records(self), query, snapshot=snapshot, limit=limit)

    def search_service(
        self,
        query: str,
        *,
        snapshot: int,
        limit: int,
        service: str,
        services: tuple[str, ...],
    ) -> HitPage:
        """Search the records that one service holds."""
        records = service_records(self, service, services)
        return rank(records, query, snapshot=snapshot, limit=limit)

    def find(self, key: str) -> Record | None:
        """Return the record with this identifier."""
        return records_by_id(self).get(key)


@cache
def all_records(listing: Listing) -> tuple[Record, ...]:
    """Generate all records of a listing."""
    return tuple(make_record(listing, number) for number in range(listing.size))


@cache
def records_by_id(listing: Listing) -> dict[str, Record]:
    """Return the records of a listing by identifier."""
    return {record.record_id: record for record in all_records(listing)}


def make_record(listing: Listing, number: int) -> Record:
    """Generate one record from the seed and its number."""
    rng = random.Random(f"{listing.index}/{listing.seed}/{number}")
    words = rng.sample(WORDS[listing.kind], WORDS_PER_TITLE)
    title = f"{' '.join(words)} {number}"
    return Record(f"{listing.index}-{number:05d}", title, frozenset(words))


@lru_cache(maxsize=4096)
def service_records(
    listing: Listing, service: str, services: tuple[str, ...]
) -> tuple[Record, ...]:
    """Return the records that a service holds under a partition map."""
    return tuple(
        record
        for record in all_records(listing)
        if service_of(record.record_id, services) == service
    )


def service_of(record_id: str, services: tuple[str, ...]) -> str:
    """Return the service that holds a record."""
    return services[xxh64_intdigest(record_id.encode()) % len(services)]


def rank(
    records: tuple[Record, ...], query: str, *, snapshot: int, limit: int
) -> HitPage:
    """Score the records and return the best ones, by score, then identifier."""
    tokens = query.lower().split()
    hits = [
        Hit(record.record_id, score(record, tokens, snapshot), record.title, snapshot)
        for record in records
        if not record.words.isdisjoint(tokens)
    ]
    hits.sort(key=lambda hit: (-hit.score, hit.id))
    return HitPage(hits[:limit], len(hits))


def score(record: Record, tokens: list[str], snapshot: int) -> float:
    """Count the matching words; a fraction that depends on the snapshot breaks ties."""
    matching = sum(1 for token in tokens if token in record.words)
    fraction = xxh64_intdigest(record.record_id.encode(), seed=snapshot) % 1000 / 1000
    return round(matching + fraction, 3)
