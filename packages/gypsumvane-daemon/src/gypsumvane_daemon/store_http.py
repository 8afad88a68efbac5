"""HTTP calls to the object store."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientOSError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import ServerDisconnectedError
from yarl import URL

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_daemon.backoff import Backoff
from gypsumvane_daemon.bounded_response import BoundedConnector
from gypsumvane_daemon.error_text import release_frames
from gypsumvane_daemon.store_objects import Conflict
from gypsumvane_daemon.store_objects import ObjectChange
from gypsumvane_daemon.store_objects import ObjectChanges
from gypsumvane_daemon.store_objects import PutResult
from gypsumvane_daemon.store_objects import StoreCallCount
from gypsumvane_daemon.store_objects import StoredObject
from gypsumvane_daemon.store_objects import StoreError
from gypsumvane_daemon.store_objects import WatchGapError
from gypsumvane_daemon.store_objects import Written

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from aiohttp import ClientHandlerType
    from aiohttp import ClientRequest
    from aiohttp import ClientResponse

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.settings import PlatformSettings

RATE_LIMIT_RETRIES_MAX = 2
# Largest answer of the store; a list has one page.
ANSWER_BYTES_MAX = 8 * 2**20
# Idle time after which a connection is closed.
IDLE_TIMEOUT_S = 15.0
RATE_LIMIT_PAUSE_FIRST_S = 0.05
RATE_LIMIT_PAUSE_MAX_S = 1.0
# By the store's contract, a write answered with one of these was not applied.
REFUSED_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class _Call:
    kind: str
    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    extra_timeout_s: float = 0.0

    @property
    def writes(self) -> bool:
        return self.method != "GET"


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    etag: str
    sent_at_s: float


class StoreHttp:
    """Make calls, count them and classify their results."""

    def __init__(
        self,
        settings: PlatformSettings,
        *,
        clock: Clock,
        rng: Random,
        count: Callable[[str, str], None],
    ) -> None:
        self._base_url = f"http://{settings.store_address}"
        self._timeout_s = settings.store_timeout_ms / 1000
        self._clock = clock
        self._rng = rng
        self._count = count
        self._calls: Counter[tuple[str, str]] = Counter()
        self._session: ClientSession

    async def open(self) -> None:
        """Open the connection pool."""
        self._session = ClientSession(
            connector=BoundedConnector(
                bytes_max=ANSWER_BYTES_MAX, keepalive_timeout=IDLE_TIMEOUT_S
            ),
            middlewares=(_prevent_write_retry,),
        )

    async def close(self) -> None:
        """Close the connection pool."""
        await self._session.close()

    def calls(self) -> list[StoreCallCount]:
        """Return the number of calls by kind and result."""
        return [
            StoreCallCount(kind=kind, result=result, calls=calls)
            for (kind, result), calls in sorted(self._calls.items())
        ]

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, None when it does not exist."""
        reply = await self._run(_Call(kind="get", method="GET", path=_object_path(key)))
        if reply.status == 404:
            return None
        self._require_status(reply, 200)
        return StoredObject(
            key=key,
            value=reply.body,
            version=_parse_version(reply),
            read_at_s=reply.sent_at_s,
        )

    async def put(
        self, key: str, value: bytes, *, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one; None creates it."""
        if expected_version is None:
            condition = {"If-None-Match": "*"}
        else:
            condition = {"If-Match": f'"{expected_version}"'}
        reply = await self._run(
            _Call(
                kind="put",
                method="PUT",
                path=_object_path(key),
                headers=condition,
                body=value,
            )
        )
        if reply.status == 412:
            return Conflict()
        self._require_status(reply, 200, writes=True)
        return Written(version=_parse_version(reply, writes=True))

    async def list(self, prefix: str) -> ObjectChanges:
        """Return all objects below a prefix."""
        reply = await self._run(
            _Call(
                kind="list", method="GET", path="/v1/objects", query={"prefix": prefix}
            )
        )
        self._require_status(reply, 200)
        return _parse_changes(reply)

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> ObjectChanges:
        """Wait up to ``wait_ms`` for objects that change after a version.

        Raises WatchGapError when the store cannot report all changes since then.
        """
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        reply = await self._run(
            _Call(
                kind="watch",
                method="GET",
                path="/v1/watch",
                query=query,
                extra_timeout_s=wait_ms / 1000,
            )
        )
        if 400 <= reply.status < 500:
            raise WatchGapError(
                f"watch answered {reply.status}", may_have_applied=False
            )
        self._require_status(reply, 200)
        changes = _parse_changes(reply)
        if changes.version < after:
            raise WatchGapError("store version decreased", may_have_applied=False)
        return changes

    async def _run(self, call: _Call) -> _Reply:
        backoff = Backoff(
            self._rng, first_s=RATE_LIMIT_PAUSE_FIRST_S, max_s=RATE_LIMIT_PAUSE_MAX_S
        )
        for _ in range(RATE_LIMIT_RETRIES_MAX):
            reply = await self._send(call)
            if reply.status != 429:
                break
            await asyncio.sleep(backoff.next_s())
        else:
            reply = await self._send(call)
        if reply.status in REFUSED_STATUSES:
            raise StoreError(f"store answered {reply.status}", may_have_applied=False)
        return reply

    async def _send(self, call: _Call) -> _Reply:
        url = URL(self._base_url + call.path, encoded=True).with_query(call.query)
        sent_at_s = self._clock.monotonic_s()
        try:
            # The time-out of aiohttp may take back a cancellation of this task.
            async with (
                asyncio.timeout(self._timeout_s + call.extra_timeout_s),
                self._session.request(
                    call.method,
                    url,
                    data=call.body,
                    headers=call.headers,
                    allow_redirects=False,
                    timeout=ClientTimeout(),
                ) as response,
            ):
                body = await response.read()
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            self._record_result(call, "unreachable")
            raise StoreError(
                f"store unreachable: {error}", may_have_applied=False
            ) from error
        except (ClientError, OSError) as error:
            self._record_result(call, "lost")
            release_frames(error)
            raise StoreError(
                f"no answer from the store: {type(error).__name__}",
                may_have_applied=call.writes,
            ) from error
        self._record_result(call, str(response.status))
        return _Reply(
            status=response.status,
            body=body,
            etag=response.headers.get("ETag", ""),
            sent_at_s=sent_at_s,
        )

    def _record_result(self, call: _Call, result: str) -> None:
        self._calls[call.kind, result] += 1
        self._count(call.kind, result)

    @staticmethod
    def _require_status(reply: _Reply, status: int, *, writes: bool = False) -> None:
        if reply.status != status:
            # After a server error it is unknown whether a write was applied.
            raise StoreError(
                f"store answered {reply.status}",
                may_have_applied=writes and reply.status >= 500,
            )


async def _prevent_write_retry(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Keep aiohttp from retrying a PUT whose answer was lost.

    aiohttp retries idempotent methods after a lost connection. A retry of a
    write that was applied would get status 412 and look like a conflict.
    """
    if request.method == "GET":
        return await handler(request)
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError):
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ClientError(f"connection lost: {error}") from error


def _object_path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="/")


def _parse_version(reply: _Reply, *, writes: bool = False) -> int:
    try:
        return int(reply.etag.strip('"'))
    except ValueError as error:
        raise StoreError(
            f"store sent an invalid ETag: {reply.etag!r}", may_have_applied=writes
        ) from error


def _parse_changes(reply: _Reply) -> ObjectChanges:
    try:
        values = decode_json(reply.body)
        return ObjectChanges(
            version=int(values["version"]),
            objects=[_parse_change(item) for item in values["objects"]],
            sent_at_s=reply.sent_at_s,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(
            f"store sent an invalid object list: {error}", may_have_applied=False
        ) from error


def _parse_change(item: Any) -> ObjectChange:
    encoded = item.get("value_base64")
    return ObjectChange(
        key=str(item["key"]),
        value=None if encoded is None else base64.b64decode(encoded),
        version=int(item["version"]),
    )
