"""Interfaces to the platform on which a routing daemon runs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gypsumvane_core.routing.config import RoutingConfig
    from gypsumvane_core.routing.daemon_record import DaemonRecord
    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_core.routing.version_move import MoveOrder
    from gypsumvane_core.routing.version_move import MoveState

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Name the HTTP headers of requests and answers."""

    request_id: str
    deadline_ms: str
    answer_signature: str
    expected_leaf: str
    leaf_load: str
    leaf_limit: str
    leaf_leaving: str
    not_run: str
    retry_after: str
    part_signatures: str
    missing_parts: str


class StoreUnavailableError(Exception):
    """Report a store call that failed; the store may have executed it."""


class StoreNotCalledError(StoreUnavailableError):
    """Report that relays have no confirmed copy and the store was not called."""


class StoreSilentError(StoreUnavailableError):
    """Report a store call without an answer; a connection may have gone silent."""


class StoreAnswerTooLargeError(StoreUnavailableError):
    """Report an answer of the store that exceeds its bound."""


class HistoryLostError(Exception):
    """Report that the changes since a revision are no longer available."""


@dataclass(frozen=True, slots=True)
class Record(Generic[Value]):
    """Carry an object of the store, decoded and as stored."""

    name: str
    value: Value
    payload: Any


@dataclass(frozen=True, slots=True)
class RecordList(Generic[Value]):
    """Carry all objects of one kind at a revision of the store."""

    records: tuple[Record[Value], ...]
    revision: int
    # Time since the store confirmed this state to the relaying peer; 0 if read from
    # the store.
    age_s: float = 0.0
    # Whether a peer served the list.
    relayed: bool = False
    # Whether the relaying peer has just had an outage of the store.
    after_outage: bool = False


@dataclass(frozen=True, slots=True)
class RecordChanges(Generic[Value]):
    """Carry changes in order; a name without a record stands for a removal."""

    changes: tuple[tuple[str, Record[Value] | None], ...]
    revision: int
    # Time since the store confirmed this state to the relaying peer; 0 if read from
    # the store.
    age_s: float = 0.0
    # Whether a peer served the changes.
    relayed: bool = False
    # Whether the relaying peer has just had an outage of the store.
    after_outage: bool = False


class RecordSource(ABC, Generic[Value]):
    """Provide the objects of one kind."""

    # Name of the kind, also in the path of the relay and in log lines.
    label: str

    @abstractmethod
    async def list_all(self) -> RecordList[Value]:
        """Return all objects in their current state.

        Raises StoreUnavailableError.
        """

    @abstractmethod
    async def watch(self, revision: int, wait_s: float) -> RecordChanges[Value]:
        """Return the changes since a revision, waiting up to wait_s for one.

        Raises StoreUnavailableError, and HistoryLostError if the changes are no
        longer available.
        """

    @abstractmethod
    def decode(self, name: str, payload: Any) -> Record[Value] | None:
        """Return the object in a payload, None if it cannot be decoded."""


class Platform(ABC):
    """Give access to the platform's headers and store."""

    headers: HeaderNames
    configs: RecordSource[RoutingConfig]
    leaves: RecordSource[LeafEntry]
    evacuations: RecordSource[str]
    moves: RecordSource[MoveOrder]

    @abstractmethod
    async def register_daemon(self, record: DaemonRecord) -> None:
        """Store the record of this daemon.

        Raises StoreUnavailableError.
        """

    @abstractmethod
    async def record_move(self, order: MoveOrder, state: MoveState) -> MoveOrder:
        """Write the state of a move unless the order has changed in the store.

        Returns the order as stored afterwards. Raises StoreUnavailableError.
        """

    @abstractmethod
    async def list_daemons(self) -> Sequence[DaemonRecord]:
        """Return the records of all daemons, which may be seconds old.

        Raises StoreUnavailableError.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
