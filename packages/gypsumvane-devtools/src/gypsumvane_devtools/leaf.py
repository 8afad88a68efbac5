"""Behaviour of one simulated leaf."""

from __future__ import annotations

import asyncio
import json
import math
import random
import secrets
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.active_request import AbortCause
from gypsumvane_devtools.active_request import ActiveRequest
from gypsumvane_devtools.active_request import RequestAborted
from gypsumvane_devtools.cold_state import ColdLoad
from gypsumvane_devtools.cold_state import ColdState
from gypsumvane_devtools.leaf_counters import LeafCounters
from gypsumvane_devtools.leaf_settings import FaultMode
from gypsumvane_devtools.listing import Listing
from gypsumvane_devtools.run_ledger import LedgerRun
from gypsumvane_devtools.slot_limiter import QueueFull
from gypsumvane_devtools.slot_limiter import SlotLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_devtools.leaf_settings import LeafSettings
    from gypsumvane_devtools.run_ledger import RunLedger

RETRY_AFTER_MS = 50


class ProcessDown(Exception):  # noqa: N818
    """Report that the simulated process is down; the connection is closed."""


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Carry a search, lookup or run to a leaf."""

    kind: str
    request_id: str
    # Time left when the request arrived; None when the header was missing.
    deadline_ms: float | None
    snapshot: int | None
    idempotency_key: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class WorkAnswer:
    """Carry the status, body and leaf-specific headers of an answer."""

    status: int
    body: bytes
    not_run: bool = False
    retry_after_ms: int | None = None
    snapshot: int | None = None
    label: str = "ok"


@dataclass(slots=True)
class WithdrawalMark:
    """Record the time since which a leaf should get no requests."""

    since_s: float = math.inf

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the mark; negative when there is none."""
        return now_s - self.since_s if self.since_s < math.inf else -1.0


@dataclass(slots=True)
class CachedReport:
    """Cache a load report, so that reports lag behind the load."""

    taken_s: float = -math.inf
    values: dict[str, Any] = field(default_factory=dict)


class Leaf:
    """Serve requests with limited slots, cold starts and switchable faults."""

    def __init__(self, settings: LeafSettings, ledger: RunLedger) -> None:
        self.settings = settings
        self.ledger = ledger
        self.counters = LeafCounters()
        self.boot_id = secrets.token_hex(6)
        self.draining = False
        self.down_until_s = 0.0
        # Called with the outage in seconds when the simulated process ends.
        self.on_process_end: Callable[[float], None] = lambda outage_s: None
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(f"{settings.leaf_id}/{settings.seed}")
        self._slot_limiter = SlotLimiter()
        self._active_requests: dict[str, ActiveRequest] = {}
        self._in_progress = 0
        self._started_s = self._loop.time()
        self._cold = ColdState(settings.cold, now_s=self._started_s)
        self._drain_mark = WithdrawalMark()
        self._out_mark = WithdrawalMark()
        self._report = CachedReport()

    @property
    def down(self) -> bool:
        """Return whether the simulated process is down."""
        return self._loop.time() < self.down_until_s

    @property
    def cold(self) -> bool:
        """Return whether the leaf is cold."""
        return self._cold.is_cold(self.settings.cold, self._loop.time())

    # Control

    def start_draining(self) -> None:
        """Refuse new requests and report that the leaf is draining."""
        self.draining = True
        self._drain_mark.since_s = self._loop.time()

    def stop_draining(self) -> None:
        """Accept requests again."""
        self.draining = False
        self._drain_mark = WithdrawalMark()

    def mark_out(self) -> None:
        """Start counting requests that arrive although the leaf is out."""
        self._out_mark.since_s = self._loop.time()

    def mark_in(self) -> None:
        """Stop counting requests that arrive although the leaf is out."""
        self._out_mark = WithdrawalMark()

    def restart(self, *, outage_s: float = 0.0) -> None:
        """End the simulated process and start it cold after an outage."""
        now_s = self._loop.time()
        self.boot_id = secrets.token_hex(6)
        self.down_until_s = now_s + outage_s
        self._started_s = self.down_until_s
        self._cold = ColdState(self.settings.cold, now_s=self.down_until_s)
        self._report = CachedReport()
        self.stop_draining()
        for active in list(self._active_requests.values()):
            active.abort(AbortCause.PROCESS_ENDED)
        self.on_process_end(outage_s)

    def turn_cold(self, *, new_boot_id: bool) -> None:
        """Become cold without warning; the process keeps running."""
        self._cold = ColdState(self.settings.cold, now_s=self._loop.time())
        # Every answer carries the boot identifier, so that a new one is a sign.
        self._cold.defer_sign(shows_in_answers=new_boot_id)
        if new_boot_id:
            self.boot_id = secrets.token_hex(6)

    def cancel(self, request_id: str) -> None:
        """Cancel a waiting or running request; unknown ones are ignored."""
        active = self._active_requests.get(request_id)
        if active is not None:
            self.counters.cancelled += 1
            active.abort(AbortCause.CANCELLED)

    def status(self) -> dict[str, Any]:
        """Return the load report, delayed and distorted as the settings state."""
        now_s = self._loop.time()
        if now_s - self._report.taken_s >= self.settings.report.lag_s:
            self._report = CachedReport(now_s, self._true_status())
        if self._report.values["cold"]:
            self._cold.record_sign(now_s)
        return self._report.values

    def _true_status(self) -> dict[str, Any]:
        report = self.settings.report
        load = (
            self._slot_limiter.running + self._slot_limiter.queued
        ) / self.settings.slots
        return {
            "boot_id": self.boot_id,
            "version": self.settings.version,
            "draining": self.draining,
            "cold": self.cold and not report.hides_cold,
            "running": round(self._slot_limiter.running * report.load_factor),
            "queued": round(self._slot_limiter.queued * report.load_factor),
            "load": round(load * report.load_factor, 3),
            "snapshots": self.settings.snapshots,
        }

    # Work

    async def handle(self, request: WorkRequest) -> WorkAnswer:
        """Answer one request.

        Raises ProcessDown when the connection ends without an answer.
        """
        self._count_arrival(request)
        refusal = self._refusal(request)
        if refusal is not None:
            return self._finish(refusal)
        active = self._register(request)
        try:
            answer = await self._run_in_slot(request, active)
        except QueueFull:
            answer = shed_answer()
        except RequestAborted as aborted:
            answer = self._abort_answer(aborted.cause, active)
        finally:
            self._unregister(request, active)
        return self._finish(answer)

    def _count_arrival(self, request: WorkRequest) -> None:
        counters = self.counters
        counters.count_received(request.kind)
        if request.deadline_ms is None:
            counters.without_deadline += 1
        elif request.deadline_ms <= 0:
            counters.received_past_deadline += 1
        now_s = self._loop.time()
        drain_s = self._drain_mark.age_s(now_s)
        if drain_s >= 0:
            counters.received_while_draining += 1
            counters.last_after_drain_s = max(counters.last_after_drain_s, drain_s)
        out_s = self._out_mark.age_s(now_s)
        if out_s >= 0:
            counters.received_while_out += 1
            counters.last_after_out_s = max(counters.last_after_out_s, out_s)

    def _refusal(self, request: WorkRequest) -> WorkAnswer | None:
        if self.down:
            return self._down_answer()
        if self.draining:
            return error_answer(503, "draining", not_run=True)
        if request.deadline_ms is not None and request.deadline_ms <= 0:
            return error_answer(504, "deadline", not_run=True)
        if request.kind == "search" and not self._has_snapshot(request.snapshot):
            return error_answer(409, "snapshot_gone", not_run=True)
        return self._cold_refusal()

    def _has_snapshot(self, snapshot: int | None) -> bool:
        return snapshot is None or snapshot in self.settings.snapshots

    def _cold_refusal(self) -> WorkAnswer | None:
        if not self.cold:
            return None
        self.counters.received_cold += 1
        now_s = self._loop.time()
        cold_load = self._cold.classify(self.settings.cold, self._in_progress, now_s)
        if cold_load is ColdLoad.WITHIN_CAPACITY:
            return None
        if cold_load is ColdLoad.EXCESS_UNWARNED:
            self.counters.cold_excess_unwarned += 1
            self._cold.record_sign(now_s)
            return shed_answer()
        self.counters.cold_excess += 1
        self.counters.falls += 1
        self.restart(outage_s=self.settings.cold.outage_s)
        return self._down_answer()

    def _register(self, request: WorkRequest) -> ActiveRequest:
        deadline_s = None
        if request.deadline_ms is not None:
            deadline_s = self._loop.time() + request.deadline_ms / 1000
        active = ActiveRequest(request_id=request.request_id, deadline_s=deadline_s)
        if self.settings.keeps_deadlines:
            active.end_at_deadline()
        self._active_requests[request.request_id] = active
        self._in_progress += 1
        counters = self.counters
        counters.in_progress_max = max(counters.in_progress_max, self._in_progress)
        return active

    def _unregister(self, request: WorkRequest, active: ActiveRequest) -> None:
        active.close()
        self._in_progress -= 1
        if self._active_requests.get(request.request_id) is active:
            del self._active_requests[request.request_id]

    async def _run_in_slot(
        self, request: WorkRequest, active: ActiveRequest
    ) -> WorkAnswer:
        settings = self.settings
        await self._slot_limiter.acquire(
            active, slots=settings.slots, queue_max=settings.queue_max
        )
        try:
            return await self._process(request, active)
        finally:
            self._slot_limiter.release()

    async def _process(self, request: WorkRequest, active: ActiveRequest) -> WorkAnswer:
        active.begun = True
        self.counters.begun += 1
        running = self._slot_limiter.running
        self.counters.running_max = max(self.counters.running_max, running)
        faulty = self._is_faulty(request.kind)
        work_s = self._service_time_s(slow=faulty)
        # A run takes effect halfway, so that it can be aborted before or after that.
        await active.sleep(work_s / 2)
        if faulty and self.settings.fault.mode is FaultMode.FAIL:
            return error_answer(500, "failed")
        answer = self._execute(request)
        await active.sleep(work_s / 2)
        self._count_if_late(active)
        return answer

    def _count_if_late(self, active: ActiveRequest) -> None:
        if active.deadline_s is None:
            return
        late_s = self._loop.time() - active.deadline_s
        if late_s > 0:
            self.counters.count_past_deadline(late_s)

    def _is_faulty(self, kind: str) -> bool:
        fault = self.settings.fault
        if fault.mode is FaultMode.NONE or fault.route not in ("", kind):
            return False
        if self._loop.time() - self._started_s < fault.after_s:
            return False
        if self._in_progress <= fault.above_in_progress:
            return False
        return self._rng.random() < fault.share

    def _service_time_s(self, *, slow: bool) -> float:
        settings = self.settings
        service_time = settings.service_time
        mean_ms = service_time.mean_ms
        if (
            service_time.straggler_share > 0
            and self._rng.random() < service_time.straggler_share
        ):
            mean_ms *= service_time.straggler_factor
        if self.cold:
            mean_ms *= settings.cold.slow_factor
        if slow and settings.fault.mode is FaultMode.SLOW:
            mean_ms *= settings.fault.slow_factor
        # The shift keeps the mean of the log-normal factor at 1.
        factor = self._rng.lognormvariate(
            -(service_time.sigma**2) / 2, service_time.sigma
        )
        return mean_ms * factor / 1000

    def _execute(self, request: WorkRequest) -> WorkAnswer:
        if request.kind == "search":
            return self._search(request)
        if request.kind == "lookup":
            return self._lookup(request)
        return self._record_run(request)

    def _search(self, request: WorkRequest) -> WorkAnswer:
        snapshot = request.snapshot
        if snapshot is None:
            snapshot = max(self.settings.snapshots)
        elif not self._has_snapshot(snapshot):
            return error_answer(409, "snapshot_gone", not_run=True)
        services = self.settings.partition_maps.get(snapshot, [])
        body = search_body(
            self.listing(),
            str(request.body.get("query", "")),
            snapshot,
            int(request.body.get("limit", 10)),
            self.settings.service,
            tuple(services),
        )
        return WorkAnswer(200, body, snapshot=snapshot)

    def listing(self) -> Listing:
        """Return the listing of the leaf's index."""
        settings = self.settings
        return Listing(
            settings.index, settings.listing, settings.records, settings.seed
        )

    def _lookup(self, request: WorkRequest) -> WorkAnswer:
        key = str(request.body.get("key", ""))
        run = self.ledger.find(key)
        if run is not None:
            return json_answer({"found": True, "record": run.record})
        found = self.listing().find(key)
        if found is None:
            return json_answer({"found": False, "record": None})
        record = {"key": found.record_id, "title": found.title}
        return json_answer({"found": True, "record": record})

    def _record_run(self, request: WorkRequest) -> WorkAnswer:
        record = {**request.body, "run_id": secrets.token_hex(6)}
        self.ledger.add(
            LedgerRun(
                request.idempotency_key,
                self.settings.leaf_id,
                request.request_id,
                record,
            )
        )
        return json_answer(record)

    # Answers

    def _finish(self, answer: WorkAnswer) -> WorkAnswer:
        self.counters.count_answer(answer.label)
        if answer.status == 200 and self.cold:
            self._cold.record_good_answer(self._loop.time())
        return answer

    def _down_answer(self) -> WorkAnswer:
        if self.settings.cold.fall_mode == "error":
            return error_answer(500, "failed")
        self.counters.count_answer("closed")
        raise ProcessDown

    def _abort_answer(self, cause: AbortCause, active: ActiveRequest) -> WorkAnswer:
        if cause is AbortCause.PROCESS_ENDED:
            return self._down_answer()
        return error_answer(504, cause.value, not_run=not active.begun)


@lru_cache(maxsize=16384)
def search_body(
    listing: Listing,
    query: str,
    snapshot: int,
    limit: int,
    service: str,
    services: tuple[str, ...],
) -> bytes:
    """Search the records of a service; the encoded answer is cached."""
    page = listing.search_service(
        query, snapshot=snapshot, limit=limit, service=service, services=services
    )
    hits = [
        {"id": hit.id, "score": hit.score, "title": hit.title, "snapshot": hit.snapshot}
        for hit in page.hits
    ]
    return json.dumps({"hits": hits, "total": page.total}).encode()


def json_answer(value: dict[str, Any]) -> WorkAnswer:
    """Return a successful answer."""
    return WorkAnswer(200, json.dumps(value).encode())


def error_answer(status: int, error: str, *, not_run: bool = False) -> WorkAnswer:
    """Return an error with its reason."""
    body = json.dumps({"error": error}).encode()
    return WorkAnswer(status, body, not_run=not_run, label=error)


def shed_answer() -> WorkAnswer:
    """Return the refusal of an overloaded leaf, with a retry delay."""
    body = b'{"error": "shed"}'
    return WorkAnswer(503, body, True, RETRY_AFTER_MS, label="shed")
