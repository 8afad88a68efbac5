"""Home role: all requests to the upstreams that are assigned to this daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar
from typing import cast

from gypsumvane_core.messages import Cancel
from gypsumvane_core.messages import LeafRunReply
from gypsumvane_core.messages import LeafRunRequest
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialRequest
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.outcome import Completed
from gypsumvane_core.outcome import Failed
from gypsumvane_core.outcome import Refused
from gypsumvane_core.priority import Priority
from gypsumvane_core.reason import Reason
from gypsumvane_core.upstream_briefs import BriefCache
from gypsumvane_core.upstream_briefs import is_significant_change
from gypsumvane_core.upstream_limiter import DrainCause
from gypsumvane_daemon.batch_reply import BatchReply
from gypsumvane_daemon.brief_exchange import BriefExchange
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.leaf_task import LeafTask
from gypsumvane_daemon.leaf_worker import LeafWorker
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerNetwork

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.document_models import LeafModel
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.leaf_task import LeafResult
    from gypsumvane_daemon.peer_network import PeerContext
    from gypsumvane_daemon.upstream_ports import DocumentSource
    from gypsumvane_daemon.upstream_ports import HomeAuthority

ResultType = TypeVar("ResultType")

_PATHS = {"search": "/v1/search", "lookup": "/v1/lookup"}


class UpstreamService(Service):
    """Send partial requests and runs to the upstreams of this home."""

    name = "upstreams"

    def __init__(self, identity: DaemonIdentity, clock: Clock) -> None:
        self._identity = identity
        self._clock = clock
        self.briefs = BriefCache(clock)
        self._brief_exchange = BriefExchange(self.briefs, lambda: self._workers)
        self._workers: dict[str, LeafWorker] = {}
        self._closing: dict[str, LeafWorker] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()
        # Query identifier -> attempt identifier -> worker and task, until they finish.
        self._attempts: dict[str, dict[int, tuple[LeafWorker, LeafTask]]] = {}
        self._request_number = 0
        self._metrics: MetricsService
        self._authority: HomeAuthority
        self._documents: DocumentSource

    async def start(self, kernel: Kernel) -> None:
        """Start workers for the assigned upstreams and accept peer requests."""
        self._metrics = kernel.get(MetricsService)
        self._authority = cast("HomeAuthority", kernel.find("membership"))
        self._documents = cast("DocumentSource", kernel.find("documents"))
        self._authority.set_release_check(self.idle)
        self._authority.on_change(self._reconcile)
        self._authority.add_contributor(self._brief_exchange)
        self._documents.on_change(lambda name: self._reconcile())
        peers = kernel.get(PeerNetwork)
        peers.register(PartialBatch, self._on_batch)
        peers.register(Cancel, self._on_cancel)
        peers.register(LeafRunRequest, self._on_run)
        self._reconcile()

    async def stop(self) -> None:
        """Wait for the calls in progress and close all connections."""
        for worker in list(self._workers.values()):
            await worker.close()
        self._workers.clear()
        await asyncio.gather(*self._close_tasks, return_exceptions=True)

    # Interface of other services.

    async def run_partial(
        self, batch: PartialBatch, request: PartialRequest
    ) -> PartialResult:
        """Run one partial request at an upstream of this home."""
        future: asyncio.Future[PartialResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._submit_partial(batch, request, _result_setter(future))
        try:
            return await future
        except asyncio.CancelledError:
            self.cancel(batch.query_id, [request.attempt_id])
            raise

    async def run_once(self, request: LeafRunRequest) -> LeafRunReply:
        """Send a non-idempotent request at most once."""
        worker = self._workers.get(request.leaf_id)
        if worker is None:
            return _run_reply(Refused(Reason.NOT_HOME))
        future: asyncio.Future[LeafResult] = asyncio.get_running_loop().create_future()
        task = LeafTask(
            path="/v1/run",
            body=request.body,
            priority=Priority.RUN,
            deadline_s=self._deadline_s(request.deadline_left_ms),
            on_done=_result_setter(future),
            caller_id=request.caller_id,
            idempotency_key=request.key,
            idempotent=False,
        )
        worker.submit(task)
        try:
            return _run_reply((await future).outcome)
        except asyncio.CancelledError:
            worker.cancel(task)
            raise

    def cancel(self, query_id: str, attempt_ids: list[int]) -> None:
        """Cancel attempts of a query; an empty list cancels all of them."""
        attempts = self._attempts.get(query_id, {})
        for attempt_id in attempt_ids or list(attempts):
            entry = attempts.get(attempt_id)
            if entry is not None:
                worker, task = entry
                worker.cancel(task)

    def idle(self, leaf_id: str) -> bool:
        """Return whether no call to a leaf is in progress."""
        workers = (self._workers.get(leaf_id), self._closing.get(leaf_id))
        return all(worker is None or worker.idle for worker in workers)

    # Messages of peers.

    async def _on_batch(self, batch: PartialBatch, context: PeerContext) -> None:
        def send(reply: PartialResults, final: bool) -> None:
            context.reply(reply, final=final)

        def briefs(results: list[PartialResult]) -> list[UpstreamBrief]:
            leaf_ids = (result.leaf_id for result in results)
            return self._brief_exchange.unsent(context.hello.vm_id, leaf_ids)

        reply = BatchReply(len(batch.requests), send=send, briefs=briefs)
        for request in batch.requests:
            self._submit_partial(batch, request, reply.add)

    async def _on_cancel(self, message: Cancel, context: PeerContext) -> None:
        self.cancel(message.query_id, message.attempt_ids)

    async def _on_run(
        self, request: LeafRunRequest, context: PeerContext
    ) -> LeafRunReply:
        return await self.run_once(request)

    # Partial requests.

    def _submit_partial(
        self,
        batch: PartialBatch,
        request: PartialRequest,
        deliver: Callable[[PartialResult], None],
    ) -> None:
        worker = self._workers.get(request.leaf_id)
        path = _PATHS.get(batch.route)
        if worker is None or path is None:
            reason = Reason.NOT_HOME if worker is None else Reason.BAD_REQUEST
            self._metrics.count("leaf_refusals", reason=reason.value)
            deliver(_partial_result(batch, request, Refused(reason)))
            return

        def on_done(result: LeafResult) -> None:
            self._remove_attempt(batch.query_id, request.attempt_id)
            answer = _partial_result(batch, request, result.outcome)
            answer.snapshot = result.snapshot
            answer.latency_ms = result.latency_ms
            deliver(answer)

        task = LeafTask(
            path=path,
            body=batch.query,
            priority=Priority.of_route(batch.route),
            deadline_s=self._deadline_s(batch.deadline_left_ms),
            on_done=on_done,
            snapshot=batch.snapshot,
            snapshot_required=batch.route == "search",
            caller_id=batch.caller_id,
        )
        attempts = self._attempts.setdefault(batch.query_id, {})
        attempts[request.attempt_id] = (worker, task)
        worker.submit(task)

    def _remove_attempt(self, query_id: str, attempt_id: int) -> None:
        attempts = self._attempts.get(query_id)
        if attempts is None:
            return
        attempts.pop(attempt_id, None)
        if not attempts:
            del self._attempts[query_id]

    def _deadline_s(self, left_ms: int) -> float:
        return self._clock.monotonic_s() + left_ms / 1000

    def _next_request_id(self) -> str:
        self._request_number += 1
        return f"{self._identity.incarnation}-{self._request_number}"

    # Assignment.

    def _reconcile(self) -> None:
        """Adjust workers and drains to the documents and the assignment."""
        wanted: set[str] = set()
        for index in self._documents.catalogue.indexes():
            for leaf in index.leaves:
                if self._authority.home_of(leaf.leaf_id) == self._identity.vm_id:
                    wanted.add(leaf.leaf_id)
                    self._reconcile_leaf(index, leaf)
        for leaf_id in set(self._workers) - wanted:
            self._release(leaf_id)

    def _reconcile_leaf(self, index: IndexDocument, leaf: LeafModel) -> None:
        catalogue = self._documents.catalogue
        policy = catalogue.fleet().policy(
            index=index.name, service=leaf.service, leaf=leaf.leaf_id
        )
        worker = self._workers.get(leaf.leaf_id)
        if worker is not None and worker.leaf.address != leaf.address:
            self._release(leaf.leaf_id)
            worker = None
        is_new = worker is None
        if worker is None:
            worker = LeafWorker(
                leaf,
                policy,
                clock=self._clock,
                authority=self._authority,
                next_request_id=self._next_request_id,
                count=self._metrics.count,
                publish=self._publish,
            )
            worker.predecessor = self._closing.get(leaf.leaf_id)
            self._workers[leaf.leaf_id] = worker
        worker.configure(leaf, policy)
        out = leaf.failure_domain in catalogue.domains_out()
        worker.set_drain(DrainCause.DOMAIN, on=out)
        worker.set_drain(DrainCause.TOPOLOGY, on=leaf.leaving)
        if is_new:
            worker.assign()

    def _release(self, leaf_id: str) -> None:
        worker = self._workers.pop(leaf_id)
        worker.release(Reason.NOT_HOME)
        self._brief_exchange.forget(leaf_id)
        self._closing[leaf_id] = worker
        close_task = asyncio.create_task(self._close(leaf_id, worker))
        self._close_tasks.add(close_task)
        close_task.add_done_callback(self._close_tasks.discard)

    async def _close(self, leaf_id: str, worker: LeafWorker) -> None:
        await worker.close()
        if self._closing.get(leaf_id) is worker:
            del self._closing[leaf_id]

    def _publish(self, brief: UpstreamBrief) -> None:
        known = self.briefs.get(brief.leaf_id)
        brief.sequence = self.briefs.next_sequence(brief.leaf_id)
        if known is None or is_significant_change(known, brief):
            self.briefs.update(brief)


def _result_setter(future: asyncio.Future[ResultType]) -> Callable[[ResultType], None]:
    """Return a function that sets the result unless the future is done."""

    def set_result(result: ResultType) -> None:
        if not future.done():
            future.set_result(result)

    return set_result


def _partial_result(
    batch: PartialBatch, request: PartialRequest, outcome: Refused | Failed | Completed
) -> PartialResult:
    result = PartialResult(
        query_id=batch.query_id,
        attempt_id=request.attempt_id,
        service=request.service,
        leaf_id=request.leaf_id,
        verdict=outcome.verdict.value,
    )
    if isinstance(outcome, Completed):
        result.kind = "answered"
        result.body = outcome.body
        return result
    result.kind = "refused" if isinstance(outcome, Refused) else "failed"
    result.reason = outcome.reason.value
    return result


def _run_reply(outcome: Refused | Failed | Completed) -> LeafRunReply:
    if isinstance(outcome, Completed):
        return LeafRunReply(
            kind="completed",
            verdict=outcome.verdict.value,
            status=outcome.status,
            body=outcome.body,
        )
    kind = "refused" if isinstance(outcome, Refused) else "failed"
    return LeafRunReply(
        kind=kind, verdict=outcome.verdict.value, reason=outcome.reason.value
    )
