"""Source of objects that reads from hubs or from the store."""

from __future__ import annotations

import logging
import math
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from gypsumvane_core.routing.store_access import StoreAccess
from gypsumvane_daemon.routing.peer_client import CONNECT_TIMEOUT_S
from gypsumvane_daemon.routing.peer_client import PeerError
from gypsumvane_daemon.routing.ports import HistoryLostError
from gypsumvane_daemon.routing.ports import RecordChanges
from gypsumvane_daemon.routing.ports import RecordList
from gypsumvane_daemon.routing.ports import RecordSource
from gypsumvane_daemon.routing.ports import StoreNotCalledError
from gypsumvane_daemon.routing.ports import StoreUnavailableError
from gypsumvane_daemon.routing.relay_handler import GONE
from gypsumvane_daemon.routing.relay_handler import RELAY_PATH
from gypsumvane_daemon.routing.relay_handler import UNCONFIRMED
from gypsumvane_daemon.routing.relay_handler import UNCONFIRMED_QUERY

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.daemon_record import DaemonRecord
    from gypsumvane_daemon.routing.peer_client import PeerClient
    from gypsumvane_daemon.routing.ports import Record

Value = TypeVar("Value")
Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)

# Longest and shortest wait of a watch at a hub, and the time-out on top.
WATCH_WAIT_S = 1.0
WATCH_WAIT_MIN_S = 0.1
RELAY_MARGIN_S = 0.4
# Time before news has to be in force at which a watch at a hub has ended, because the
# hub may have stopped silently or have lost the store: for a second hub that is silent
# and a call to the store.
RELAY_LEAD_S = 0.9
# Time to connect to a hub for the first list, before which a daemon serves nothing.
# When all daemons start together, a hub may still be down, and a hub that runs accepts
# a connection within some milliseconds.
FIRST_CONNECT_TIMEOUT_S = 0.1
# Time after the start for which a daemon that is neither hub nor entry waits for a hub
# with its first list.
FIRST_LIST_PATIENCE_S = 3.0
# Time for which a hub is not used after it failed.
FAILED_RELAY_AVOID_S = 3.0
# Time for which a hub is not used after it answered that its copy is not confirmed.
UNCONFIRMED_RELAY_AVOID_S = 0.8
# Hubs of other failure domains that are asked when those of the own one have lost the
# store.
REMOTE_RELAYS_MAX = 2
# Peers that a daemon without any objects asks before it tries the store again.
PEERS_TRIED_MAX = 4


class RelayedSource(RecordSource[Value]):
    """Read from the hubs of the failure domain first, then from the store.

    If these hubs have lost the store, hubs of other failure domains are asked. A
    daemon that is no hub itself then calls the store only as StoreAccess allows.
    """

    def __init__(
        self,
        store: RecordSource[Value],
        *,
        relays: Callable[[], list[DaemonRecord]],
        remote_relays: Callable[[], list[DaemonRecord]],
        is_hub: Callable[[], bool],
        may_be_entry: Callable[[], bool],
        peers: Callable[[], list[DaemonRecord]],
        client: PeerClient,
        news_bound_s: float,
        clock: Clock,
        rng: Random,
    ) -> None:
        self.label = store.label
        self._store = store
        self._relays = relays
        self._remote_relays = remote_relays
        self._is_hub = is_hub
        self._may_be_entry = may_be_entry
        self._peers = peers
        self._client = client
        self._clock = clock
        self._rng = rng
        # Greatest age of the own copy at which hubs are trusted.
        self._copy_age_max_s = news_bound_s - RELAY_LEAD_S
        self._access = StoreAccess(rng, news_bound_s)
        # Returns the time since the store last confirmed the own copy.
        self.copy_age_s: Callable[[], float] = lambda: math.inf
        self._created_s = clock.monotonic_s()
        self._avoid_until_s: dict[str, float] = {}
        self._unconfirmed_until_s: dict[str, float] = {}
        # Revision of the latest state read; a hub with an older list is not used.
        self._seen_revision = 0

    async def list_all(self) -> RecordList[Value]:
        """Return all objects from the first source that has them.

        Raises StoreUnavailableError.
        """
        for relay in self._relays_to_ask():
            try:
                listing = await self._list_from(relay, {})
            except (PeerError, KeyError, TypeError, ValueError) as error:
                self._avoid(relay, error)
            else:
                self._access.record_confirmed()
                return listing
        if not self._has_read:
            return await self._list_first()
        return await self._list_from_store()

    async def _list_first(self) -> RecordList[Value]:
        """Return the first list of this daemon, which serves nothing before it.

        Load: all daemons start at once and read all objects. Those that callers are
        sent to read from the store at once, the others leave it to them for a while
        and read from their hub. Raises StoreUnavailableError.
        """
        age_s = self._clock.monotonic_s() - self._created_s
        if age_s < FIRST_LIST_PATIENCE_S and not (
            self._is_hub() or self._may_be_entry()
        ):
            raise StoreUnavailableError("waiting for the first list of a hub")
        try:
            return await self._list_from_store()
        except StoreUnavailableError:
            return await self._list_from_any_peer()

    async def _list_from_store(self) -> RecordList[Value]:
        listing = await self._call_store(self._store.list_all)
        self._seen_revision = max(self._seen_revision, listing.revision)
        return listing

    async def watch(self, revision: int, wait_s: float) -> RecordChanges[Value]:
        """Return the changes since a revision from the first source that answers.

        Raises StoreUnavailableError, and HistoryLostError if that source no longer
        has the changes.
        """
        for relay in self._relays_to_ask():
            relay_wait_s = self._relay_wait_s()
            query = {"since": str(revision), "wait_s": f"{relay_wait_s:.3f}"}
            try:
                answer = await self._call(relay, query, relay_wait_s + RELAY_MARGIN_S)
                changes = tuple(
                    (name, None if payload is None else self.decode(name, payload))
                    for name, payload in answer["objects"]
                )
                watched = RecordChanges(
                    changes,
                    int(answer["revision"]),
                    float(answer["age_s"]),
                    relayed=True,
                    after_outage=bool(answer["after_outage"]),
                )
            except PeerError as error:
                if error.status == GONE:
                    raise HistoryLostError(str(error)) from error
                self._avoid(relay, error)
            except (KeyError, TypeError, ValueError) as error:
                self._avoid(relay, error)
            else:
                self._access.record_confirmed()
                return watched
        watched = await self._call_store(partial(self._store.watch, revision, wait_s))
        self._seen_revision = max(self._seen_revision, watched.revision)
        return watched

    async def _list_from(
        self, relay: DaemonRecord, query: dict[str, str]
    ) -> RecordList[Value]:
        """Return the list that a peer serves.

        Raises PeerError, and KeyError, TypeError or ValueError if the answer is
        malformed or older than what was read before.
        """
        answer = await self._call(relay, query, RELAY_MARGIN_S + WATCH_WAIT_S)
        revision = int(answer["revision"])
        if revision < self._seen_revision:
            raise ValueError(f"revision {revision} is older than {self._seen_revision}")
        self._seen_revision = revision
        records = (self.decode(name, payload) for name, payload in answer["objects"])
        return RecordList(
            tuple(record for record in records if record is not None),
            revision,
            float(answer["age_s"]),
            relayed=True,
            after_outage=bool(answer["after_outage"]),
        )

    async def _list_from_any_peer(self) -> RecordList[Value]:
        """Return the unconfirmed list of a peer, for a start during a store outage.

        The daemon then routes by the same objects as its peers. Raises
        StoreUnavailableError.
        """
        for peer in self._peers()[:PEERS_TRIED_MAX]:
            try:
                return await self._list_from(peer, {UNCONFIRMED_QUERY: "1"})
            except (PeerError, KeyError, TypeError, ValueError) as error:
                logger.info(
                    "peer did not return its copy, skipping the peer",
                    extra={"peer": peer.name, "kind": self.label, "error": str(error)},
                )
        raise StoreUnavailableError("neither the store nor a peer returned a list")

    def decode(self, name: str, payload: Any) -> Record[Value] | None:
        """Return the object in a payload, None if it cannot be decoded."""
        return self._store.decode(name, payload)

    async def _call(
        self, relay: DaemonRecord, query: dict[str, str], timeout_s: float
    ) -> Any:
        return await self._client.call(
            "GET",
            relay.peer_address,
            f"{RELAY_PATH}{self.label}",
            query=query,
            timeout_s=timeout_s,
            connect_timeout_s=(
                CONNECT_TIMEOUT_S if self._has_read else FIRST_CONNECT_TIMEOUT_S
            ),
        )

    def _relays_to_ask(self) -> Iterator[DaemonRecord]:
        """Yield the hubs to ask in order; the later ones if the earlier ones fail.

        Hubs of other failure domains follow if a hub has no confirmed copy. The first
        hub of a failure domain has nobody to ask and goes to the store.
        """
        unconfirmed = False
        for relay in self._relays():
            if self._usable(relay):
                yield relay
            unconfirmed = unconfirmed or self._is_unconfirmed(relay)
        if not unconfirmed:
            return
        remote = [relay for relay in self._remote_relays() if self._usable(relay)]
        count = min(REMOTE_RELAYS_MAX, len(remote))
        yield from self._rng.sample(remote, count)

    @property
    def _has_read(self) -> bool:
        """Return whether a list was read since the start."""
        return self._seen_revision > 0

    def _usable(self, relay: DaemonRecord) -> bool:
        now_s = self._clock.monotonic_s()
        return self._avoid_until_s.get(relay.name, 0.0) <= now_s

    def _is_unconfirmed(self, relay: DaemonRecord) -> bool:
        """Return whether a hub has just answered that its copy is not confirmed."""
        now_s = self._clock.monotonic_s()
        return self._unconfirmed_until_s.get(relay.name, 0.0) > now_s

    def _relay_wait_s(self) -> float:
        """Return how long a watch at a hub may wait before the own copy is too old."""
        left_s = self._copy_age_max_s - RELAY_MARGIN_S - self.copy_age_s()
        return max(WATCH_WAIT_MIN_S, min(WATCH_WAIT_S, left_s))

    async def _call_store(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        """Return the answer of a call to the store, if one may be made now.

        Raises StoreNotCalledError otherwise, and the errors of the call.
        """
        access = self._access
        may_call = access.may_call(self._clock.monotonic_s(), self.copy_age_s())
        if self._has_read and not self._is_hub() and not may_call:
            raise StoreNotCalledError("relays have lost the store, waiting for them")
        try:
            answer = await call()
        except StoreUnavailableError:
            access.record_failed(self._clock.monotonic_s())
            raise
        access.record_answered()
        return answer

    def _avoid(self, relay: DaemonRecord, error: Exception) -> None:
        now_s = self._clock.monotonic_s()
        avoid_s = FAILED_RELAY_AVOID_S
        if isinstance(error, PeerError) and error.status == UNCONFIRMED:
            avoid_s = UNCONFIRMED_RELAY_AVOID_S
            self._unconfirmed_until_s[relay.name] = now_s + avoid_s
            self._access.record_unconfirmed(now_s)
        self._avoid_until_s[relay.name] = now_s + avoid_s
        logger.info(
            "relay failed, using other sources",
            extra={"relay": relay.name, "kind": self.label, "error": str(error)},
        )
