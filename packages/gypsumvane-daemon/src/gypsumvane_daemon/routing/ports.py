"""What the routing services need of the platform they run on."""

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
    """Name the headers of requests to and answers of leaves."""

    request_id: str
    deadline_ms: str
    answer_signature: str
    expected_leaf: str
    leaf_load: str
    not_run: str
    retry_after: str
    part_signatures: str
    missing_parts: str


class StoreUnavailableError(Exception):
    """Report a store call without an answer; it may have been executed."""


class HistoryLostError(Exception):
    """Report that the changes since a revision are no longer known."""


@dataclass(frozen=True, slots=True)
class Record(Generic[Value]):
    """Carry one object of the store and its undecoded form."""

    name: str
    value: Value
    payload: Any


@dataclass(frozen=True, slots=True)
class RecordList(Generic[Value]):
    """Carry all objects of a kind at a revision of the store."""

    records: tuple[Record[Value], ...]
    revision: int
    # Time since the store confirmed this state to the peer it comes from.
    age_s: float = 0.0
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class RecordChanges(Generic[Value]):
    """Carry changes in order; a name without a record was removed."""

    changes: tuple[tuple[str, Record[Value] | None], ...]
    revision: int
    # Time since the store confirmed this state to the peer it comes from.
    age_s: float = 0.0


class RecordSource(ABC, Generic[Value]):
    """Read the objects of one kind."""

    label: str

    @abstractmethod
    async def list_all(self) -> RecordList[Value]:
        """Return all objects, as they are now.

        Raises StoreUnavailableError.
        """

    @abstractmethod
    async def watch(self, revision: int, wait_s: float) -> RecordChanges[Value]:
        """Return the changes since a revision, after wait_s without any.

        Raises StoreUnavailableError and HistoryLostError.
        """

    @abstractmethod
    def decode(self, name: str, payload: Any) -> Record[Value] | None:
        """Return the object in a payload, None when it cannot be read."""


class Platform(ABC):
    """Give access to the kinds of objects that routing needs."""

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
        """Write the state of a move unless the order has changed.

        Return the order as it is then. Raises StoreUnavailableError.
        """

    @abstractmethod
    async def list_daemons(self) -> Sequence[DaemonRecord]:
        """Return the records of all daemons; they may be seconds old.

        Raises StoreUnavailableError.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
