"""Single attempt to get an answer to a request from one leaf."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from gypsumvane_core.reason import Reason
from gypsumvane_core.routing.answer_meaning import AnswerMeaning
from gypsumvane_core.routing.answer_meaning import interpret_answer
from gypsumvane_core.verdict import Verdict
from gypsumvane_core.whole_number import parse_whole_number
from gypsumvane_daemon.routing.leaf_channel import ExchangeError
from gypsumvane_daemon.routing.leaf_channel import SendWithdrawnError

if TYPE_CHECKING:
    from gypsumvane_core.clock import Clock
    from gypsumvane_core.routing.config import ServiceConfig
    from gypsumvane_core.routing.leaf_registry import LeafEntry
    from gypsumvane_core.routing.leaf_registry import LeafRegistry
    from gypsumvane_daemon.routing.forwarded_request import ForwardedRequest
    from gypsumvane_daemon.routing.leaf_channel import LeafAnswer
    from gypsumvane_daemon.routing.leaf_pool import LeafPool
    from gypsumvane_daemon.routing.ports import HeaderNames

logger = logging.getLogger(__name__)

UNAVAILABLE = 503


def parse_amount(text: str) -> float | None:
    """Return the decimal number in a header, None without a usable one."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if 0 <= amount < math.inf else None


@dataclass(frozen=True, slots=True)
class LeafReply:
    """Carry the answer of a leaf that executed the request."""

    entry: LeafEntry
    answer: LeafAnswer
    signature: str
    latency_s: float

    @property
    def success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.answer.status < 300


@dataclass(frozen=True, slots=True)
class LeafFailure:
    """Report an attempt that failed, with what is known of its execution."""

    entry: LeafEntry | None
    reason: Reason
    verdict: Verdict
    message: str = ""
    # Whether the leaf received the request.
    reached_leaf: bool = False
    # The answer of a leaf that executed the request and failed.
    reply: LeafReply | None = None


LeafResult = LeafReply | LeafFailure


@dataclass(frozen=True, slots=True)
class LeafSender:
    """Send requests to leaves and record the outcome in their load and registry."""

    names: HeaderNames
    pool: LeafPool
    registry: LeafRegistry
    clock: Clock

    async def send(
        self,
        entry: LeafEntry,
        service: ServiceConfig | None,
        request: ForwardedRequest,
        *,
        median_latency_s: float,
        answer_bytes_max: int,
    ) -> LeafResult:
        """Send the request to a leaf once and classify the outcome.

        median_latency_s is the median of the route, to which the latency of
        the answer is compared. An answer with a longer body than answer_bytes_max
        is a failure of the leaf.
        """
        load = self.pool.load(entry)
        sent_s = self.clock.monotonic_s()
        call = load.begin(sent_s)
        try:
            answer = await self.pool.channel(entry, service).exchange(
                partial(self._encode_head, entry, request),
                request_body=request.body,
                request_id=request.request_id,
                id_header=self.names.request_id,
                body_bytes_max=answer_bytes_max,
                bodiless=request.method == "HEAD",
            )
        except SendWithdrawnError as error:
            return LeafFailure(entry, error.reason, Verdict.NOT_RUN, str(error))
        except ExchangeError as error:
            return self._exchange_failed(entry, error)
        finally:
            load.end(call)
        now_s = self.clock.monotonic_s()
        signature = answer.header(self.names.answer_signature)
        meaning = interpret_answer(
            answer.status,
            says_not_run=bool(answer.header(self.names.not_run)),
            signed=bool(signature),
            encoded=bool(answer.header("Content-Encoding")),
        )
        if meaning is not AnswerMeaning.MISDIRECTED:
            # Otherwise the answer is that of another leaf.
            self._record_load(entry, answer, now_s)
        if meaning in (AnswerMeaning.RESULT, AnswerMeaning.FAILURE):
            reply = LeafReply(entry, answer, signature, now_s - sent_s)
            return self._executed(reply, meaning, median_latency_s=median_latency_s)
        return self._no_result(entry, answer, meaning)

    def _encode_head(self, entry: LeafEntry, request: ForwardedRequest) -> bytes:
        """Return the head to write, if the request may still be sent to the leaf.

        The wait for a connection, or a pause of the process, may have outlasted the
        deadline or the time for which the leaf gets requests. Raises
        SendWithdrawnError.
        """
        now_s = self.clock.monotonic_s()
        if now_s >= request.deadline_s:
            raise SendWithdrawnError(
                "the deadline passed before the request was sent",
                reason=Reason.DEADLINE,
            )
        if not self.registry.may_send(entry, now_s):
            raise SendWithdrawnError(
                "the leaf left before the request was sent",
                reason=Reason.UPSTREAM_LEAVING,
            )
        if self.pool.load(entry).paused_until_s > now_s:
            raise SendWithdrawnError(
                "the leaf asked for a pause before the request was sent",
                reason=Reason.UPSTREAM_SHED,
            )
        return request.encode_head(self.names, leaf_id=entry.leaf_id, now_s=now_s)

    def _exchange_failed(self, entry: LeafEntry, error: ExchangeError) -> LeafFailure:
        load = self.pool.load(entry)
        now_s = self.clock.monotonic_s()
        if not error.written:
            load.record_unreachable(now_s)
            return LeafFailure(
                entry, Reason.UPSTREAM_UNAVAILABLE, Verdict.NOT_RUN, str(error)
            )
        load.record_failure(now_s)
        reason = Reason.CONNECTION_LOST
        if error.mismatched:
            reason = Reason.ANSWER_MISMATCH
        elif error.too_large:
            reason = Reason.ANSWER_TOO_LARGE
        return LeafFailure(
            entry, reason, Verdict.MAY_HAVE_RUN, str(error), reached_leaf=True
        )

    def _executed(
        self, reply: LeafReply, meaning: AnswerMeaning, *, median_latency_s: float
    ) -> LeafResult:
        """Record and return the result of a request that the leaf executed."""
        load = self.pool.load(reply.entry)
        now_s = self.clock.monotonic_s()
        if meaning is AnswerMeaning.FAILURE:
            load.record_failure(now_s)
            return LeafFailure(
                reply.entry,
                Reason.UPSTREAM_ERROR,
                Verdict.RAN,
                f"status {reply.answer.status}",
                reached_leaf=True,
                reply=reply,
            )
        load.record_success(reply.latency_s / max(median_latency_s, 0.001), now_s)
        return reply

    def _no_result(
        self, entry: LeafEntry, answer: LeafAnswer, meaning: AnswerMeaning
    ) -> LeafFailure:
        """Record and return the failure of an answer that shows no execution."""
        if meaning is AnswerMeaning.MISDIRECTED:
            self.registry.remove_misdirected(entry)
            return LeafFailure(
                entry,
                Reason.UPSTREAM_LEAVING,
                Verdict.NOT_RUN,
                "address now belongs to another leaf",
                reached_leaf=True,
            )
        load = self.pool.load(entry)
        now_s = self.clock.monotonic_s()
        load.record_failure(now_s)
        if meaning is AnswerMeaning.REFUSAL:
            return LeafFailure(
                entry,
                Reason.UPSTREAM_SHED,
                Verdict.NOT_RUN,
                f"leaf refused the request with status {answer.status}",
                reached_leaf=True,
            )
        return LeafFailure(
            entry,
            Reason.ANSWER_MISMATCH,
            Verdict.MAY_HAVE_RUN,
            f"answer with status {answer.status} has no signature or is compressed",
            reached_leaf=True,
        )

    def _record_load(self, entry: LeafEntry, answer: LeafAnswer, now_s: float) -> None:
        if answer.header(self.names.leaf_leaving) and self.registry.mark_leaving(
            entry, now_s
        ):
            logger.info("leaf says that it leaves", extra={"leaf": entry.leaf_id})
        text = answer.header(self.names.leaf_limit)
        self.pool.record_limit(entry, parse_amount(text), now_s)
        pause_s = parse_amount(answer.header(self.names.retry_after))
        if answer.status == UNAVAILABLE and pause_s is not None:
            # The leaf wants no requests, whether or not it executed this one.
            self.pool.load(entry).record_pause(pause_s, now_s)
        # Running requests, waiting requests and slots.
        report = answer.header(self.names.leaf_load).split(",")
        waiting = parse_whole_number(report[1]) if len(report) == 3 else None
        if waiting is not None:
            self.pool.load(entry).record_queue_length(waiting, now_s)
