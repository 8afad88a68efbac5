"""Request handlers of the caller API."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeVar

from aiohttp import web
from pydantic import BaseModel
from pydantic import ValidationError

from gypsumvane_core.admission_request import AdmissionRequest
from gypsumvane_core.messages import BookingRequest
from gypsumvane_core.outcome import Completed
from gypsumvane_core.priority import Priority
from gypsumvane_core.query_answer import Answer
from gypsumvane_core.query_answer import AnswerOutcome
from gypsumvane_core.query_answer import SearchAnswer
from gypsumvane_core.query_request import LookupRequest
from gypsumvane_core.query_request import SearchRequest
from gypsumvane_core.reason import Reason
from gypsumvane_daemon.admission_service import AdmissionRefused
from gypsumvane_daemon.caller_bodies import LookupBody
from gypsumvane_daemon.caller_bodies import ReserveBody
from gypsumvane_daemon.caller_bodies import RunBody
from gypsumvane_daemon.caller_bodies import SearchBody
from gypsumvane_daemon.caller_error import CallerError
from gypsumvane_daemon.caller_headers import IDEMPOTENCY_KEY
from gypsumvane_daemon.caller_headers import read_headers
from gypsumvane_daemon.caller_replies import json_reply
from gypsumvane_daemon.caller_replies import lookup_reply
from gypsumvane_daemon.caller_replies import run_reply
from gypsumvane_daemon.caller_replies import search_reply

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.caller_headers import CallerHeaders
    from gypsumvane_daemon.caller_ports import AdmissionPort
    from gypsumvane_daemon.caller_ports import BookingsPort
    from gypsumvane_daemon.caller_ports import EntryPort
    from gypsumvane_daemon.caller_ports import GatewayPort
    from gypsumvane_daemon.caller_ports import LifecyclePort
    from gypsumvane_daemon.caller_ports import PermitPort

NOT_SERVING = "this daemon is not serving requests"
# Reasons that indicate a lack of capacity. Other incomplete answers, such as those
# to bad requests or without an unavailable service, must not lower the in-flight
# limit.
OVERLOAD_REASONS = frozenset(
    {Reason.DEADLINE, Reason.QUEUE_FULL, Reason.UPSTREAM_SHED, Reason.UPSTREAM_COLD}
)
REQUEST_ID_KEY = web.RequestKey("request_id", str)
BodyType = TypeVar("BodyType", bound=BaseModel)
AnswerType = TypeVar("AnswerType", bound=Answer)


@dataclass(frozen=True, slots=True)
class CallerDependencies:
    """Services that the request handlers use."""

    clock: Clock
    failure_domain: str
    admission: AdmissionPort
    gateway: GatewayPort
    bookings: BookingsPort
    lifecycle: LifecyclePort
    entry: EntryPort


@dataclass(frozen=True, slots=True)
class _CallerRequest:
    """Parts that all parsed requests to an index have in common."""

    request_id: str
    index: str
    headers: CallerHeaders
    deadline_s: float
    body: bytes


class CallerRoutes:
    """Parse requests, pass them to the services and build the responses."""

    def __init__(self, deps: CallerDependencies) -> None:
        self._deps = deps
        # Runs in progress; they continue if the caller disconnects.
        self.runs: set[asyncio.Task[web.Response]] = set()

    async def search(self, request: web.Request) -> web.Response:
        """Search all services of an index."""
        call = await self._parse_if_serving(request)
        body = parse_body(SearchBody, call.body)
        search = SearchRequest(
            request_id=call.request_id,
            index=call.index,
            query=body.query,
            deadline_s=call.deadline_s,
            limit=body.limit,
            offset=body.offset,
            caller_id=call.headers.caller_id,
        )
        run_query = partial(self._deps.gateway.search, search)
        return search_reply(await self._run_admitted(call, Priority.SEARCH, run_query))

    async def lookup(self, request: web.Request) -> web.Response:
        """Look a key up in the service that holds it."""
        call = await self._parse_if_serving(request)
        body = parse_body(LookupBody, call.body)
        lookup = LookupRequest(
            request_id=call.request_id,
            index=call.index,
            key=body.key,
            deadline_s=call.deadline_s,
            caller_id=call.headers.caller_id,
        )
        run_query = partial(self._deps.gateway.lookup, lookup)
        return lookup_reply(await self._run_admitted(call, Priority.LOOKUP, run_query))

    async def _run_admitted(
        self,
        call: _CallerRequest,
        priority: Priority,
        run_query: Callable[[], Awaitable[AnswerType]],
    ) -> AnswerType:
        permit = await self._admit(call, priority)
        try:
            answer = await run_query()
            self._report_outcome(
                permit, call, answer.outcome, incomplete_reasons(answer)
            )
            return answer
        finally:
            # Has no effect if the outcome was reported.
            permit.abandon()

    async def run(self, request: web.Request) -> web.Response:
        """Run a non-idempotent request at most once."""
        call = await self._parse_request(request)
        body = parse_body(RunBody, call.body)
        if not call.headers.idempotency_key:
            raise CallerError(Reason.KEY_MISSING, f"{IDEMPOTENCY_KEY} is required")
        task = asyncio.create_task(self._run(call, body))
        self.runs.add(task)
        task.add_done_callback(self.runs.discard)
        return await asyncio.shield(task)

    async def _run(self, call: _CallerRequest, body: RunBody) -> web.Response:
        if not self._deps.lifecycle.serving:
            return await self._refuse_run(call, body, Reason.NOT_READY, NOT_SERVING)
        try:
            permit = await self._admit(call, Priority.RUN)
        except AdmissionRefused as error:
            return await self._refuse_run(call, body, error.reason, error.message)
        try:
            outcome = await self._deps.bookings.run(self._booking(call, body))
            if isinstance(outcome, Completed):
                self._report_outcome(permit, call, AnswerOutcome.COMPLETE, ())
            else:
                self._report_outcome(
                    permit, call, AnswerOutcome.FAILED, (outcome.reason,)
                )
            return run_reply(outcome, request_id=call.request_id)
        finally:
            permit.abandon()

    async def _refuse_run(
        self, call: _CallerRequest, body: RunBody, reason: Reason, message: str
    ) -> web.Response:
        """Return the response to a run that is refused before it starts.

        An earlier attempt with the same key may have run, so the verdict is not
        always NOT_RUN.
        """
        booking = self._booking(call, body)
        outcome = await self._deps.bookings.refuse(booking, reason)
        if not isinstance(outcome, Completed) and outcome.reason is reason:
            outcome = replace(outcome, message=outcome.message or message)
        return run_reply(outcome, request_id=call.request_id)

    async def reserve_keys(self, request: web.Request) -> web.Response:
        """Issue idempotency keys that this daemon reserves."""
        self._check_serving()
        body = parse_body(ReserveBody, await _read_body(request) or b"{}")
        keys = self._deps.bookings.reserve(body.count)
        return json_reply({"request_id": request[REQUEST_ID_KEY], "keys": keys})

    async def entry_addresses(self, request: web.Request) -> web.Response:
        """Return the addresses that a caller should use."""
        failure_domain = request.query.get("failure_domain")
        entry = self._deps.entry.entry_addresses(
            failure_domain or self._deps.failure_domain
        )
        return json_reply({"addresses": list(entry.addresses), "keep_s": entry.keep_s})

    async def ready(self, request: web.Request) -> web.Response:
        """Return 200 if the daemon serves requests, otherwise 503."""
        serving = self._deps.lifecycle.serving
        return json_reply({"ready": serving}, status=200 if serving else 503)

    async def _parse_if_serving(self, request: web.Request) -> _CallerRequest:
        self._check_serving()
        return await self._parse_request(request)

    async def _parse_request(self, request: web.Request) -> _CallerRequest:
        now_s = self._deps.clock.monotonic_s()
        headers = read_headers(request.headers)
        index = request.match_info["index"]
        deadline_ms = self._deps.gateway.policy(index).deadline_ms
        if headers.deadline_ms is not None:
            deadline_ms = min(headers.deadline_ms, deadline_ms)
        return _CallerRequest(
            request_id=request[REQUEST_ID_KEY],
            index=index,
            headers=headers,
            deadline_s=now_s + deadline_ms / 1000,
            body=await _read_body(request),
        )

    def _check_serving(self) -> None:
        if not self._deps.lifecycle.serving:
            raise CallerError(Reason.NOT_READY, NOT_SERVING)

    async def _admit(self, call: _CallerRequest, priority: Priority) -> PermitPort:
        return await self._deps.admission.admit(
            AdmissionRequest(
                priority=priority,
                caller_id=call.headers.caller_id,
                deadline_s=call.deadline_s,
                index=call.index,
            )
        )

    def _booking(self, call: _CallerRequest, body: RunBody) -> BookingRequest:
        left_s = call.deadline_s - self._deps.clock.monotonic_s()
        return BookingRequest(
            key=call.headers.idempotency_key,
            index=call.index,
            route="run",
            service=self._deps.gateway.service_of(call.index, body.key),
            deadline_left_ms=max(int(left_s * 1000), 0),
            caller_id=call.headers.caller_id,
            body=call.body,
        )

    def _report_outcome(
        self,
        permit: PermitPort,
        call: _CallerRequest,
        outcome: AnswerOutcome,
        reasons: Iterable[Reason],
    ) -> None:
        """End the permit with the information the outcome carries about the load."""
        if outcome is AnswerOutcome.COMPLETE:
            permit.finish(self._deps.clock.monotonic_s() <= call.deadline_s)
        elif OVERLOAD_REASONS.isdisjoint(reasons):
            permit.abandon()
        else:
            permit.finish(False)


def incomplete_reasons(answer: Answer) -> list[Reason]:
    """Return the reasons why an answer is incomplete."""
    reasons = [answer.reason] if answer.reason is not None else []
    if isinstance(answer, SearchAnswer):
        reasons += [entry.reason for entry in answer.coverage.left_out]
    return reasons


async def _read_body(request: web.Request) -> bytes:
    try:
        return await request.read()
    except (web.RequestPayloadError, OSError, EOFError) as error:
        raise CallerError(
            Reason.BAD_REQUEST, "the request body could not be read"
        ) from error


def parse_body(model: type[BodyType], body: bytes) -> BodyType:
    """Parse and validate a JSON body.

    Raises CallerError, which names the first invalid member.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        text = f"{location}: {first['msg']}" if location else first["msg"]
        raise CallerError(Reason.BAD_REQUEST, text) from error
