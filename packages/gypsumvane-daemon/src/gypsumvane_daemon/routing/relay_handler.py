"""HTTP handler that serves copies of store objects to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_daemon.routing.listener import json_response
from gypsumvane_daemon.routing.listener import text_response
from gypsumvane_daemon.routing.ports import HistoryLostError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp.web import BaseRequest
    from aiohttp.web import Response

    from gypsumvane_daemon.routing.feed_mirror import FeedMirror

RELAY_PATH = "/v1/relay/"
# Greatest age of the store's last confirmation at which a copy is served. Beyond it,
# this daemon may have lost the store while the peer still reaches it. The age allows
# for one watch of the store, which waits 1.5 s and times out 0.5 s later.
CONFIRMATION_AGE_MAX_S = 2.1
# Longest time that a peer's watch waits for a change.
WAIT_MAX_S = 5.0
# Query parameter that asks for a copy even if it is not confirmed.
UNCONFIRMED_QUERY = "unconfirmed"
GONE = 410
UNCONFIRMED = 503


class RelayHandler:
    """Answer peers that read from this daemon in place of the store."""

    def __init__(self, mirrors: Mapping[str, FeedMirror[Any]]) -> None:
        self._mirrors = mirrors

    async def handle(self, request: BaseRequest) -> Response:
        """Answer a request to list objects or to watch for changes."""
        mirror = self._mirrors.get(request.path.removeprefix(RELAY_PATH))
        if mirror is None:
            return text_response(404, "unknown kind\n")
        confirmed = mirror.confirmed_age_s() <= CONFIRMATION_AGE_MAX_S
        if not mirror.revision or not (confirmed or UNCONFIRMED_QUERY in request.query):
            return text_response(UNCONFIRMED, "the copy is not confirmed\n")
        since = request.query.get("since")
        if since is None:
            return _reply(mirror, mirror.objects(), mirror.revision)
        try:
            wait_s = min(float(request.query.get("wait_s", "0")), WAIT_MAX_S)
            # A watch ends when the copy is no longer confirmed, because the peer may
            # still reach the store.
            confirmed_left_s = CONFIRMATION_AGE_MAX_S - mirror.confirmed_age_s()
            wait_s = max(0.0, min(wait_s, confirmed_left_s))
            changes, revision = await mirror.changes(int(since), wait_s)
        except ValueError as error:
            return text_response(400, f"{error}\n")
        except HistoryLostError:
            return text_response(GONE, "these changes are not known\n")
        if mirror.confirmed_age_s() > CONFIRMATION_AGE_MAX_S:
            return text_response(UNCONFIRMED, "the copy is not confirmed\n")
        return _reply(mirror, changes, revision)


def _reply(mirror: FeedMirror[Any], objects: list[Any], revision: int) -> Response:
    return json_response(
        {
            "objects": objects,
            "revision": revision,
            "age_s": mirror.confirmed_age_s(),
            "after_outage": mirror.after_outage(),
        }
    )
