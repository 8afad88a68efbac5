"""Tests of the home role against a fake HTTP leaf."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web

from daemon_settings import daemon_settings
from fake_service import kernel_of
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.messages import Cancel
from gypsumvane_core.messages import LeafRunReply
from gypsumvane_core.messages import LeafRunRequest
from gypsumvane_core.messages import PartialBatch
from gypsumvane_core.messages import PartialRequest
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import PartialResults
from gypsumvane_daemon.identity import DaemonIdentity
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_network import PeerNetwork
from gypsumvane_daemon.upstream_service import UpstreamService
from upstream_fakes import FakeDocuments
from upstream_fakes import FakeLeaf
from upstream_fakes import FakeMembership
from upstream_fakes import answer_late
from upstream_fakes import close_connection
from waiting import wait_until


class UpstreamServiceCase(unittest.IsolatedAsyncioTestCase):
    """Start a home with one leaf."""

    async def asyncSetUp(self) -> None:
        self.leaf = FakeLeaf()
        await self.leaf.start()
        self.addAsyncCleanup(self.leaf.stop)
        self.identity = DaemonIdentity(settings=daemon_settings())
        self.membership = FakeMembership()
        self.documents = FakeDocuments()
        self.documents.put_policy(cold_spacing_ms=0, warm_good_answers=2)
        self.documents.put_index([self.leaf_model()])
        self.metrics = MetricsService()
        self.peers = PeerNetwork(self.identity)
        self.service = UpstreamService(self.identity, SystemClock())
        self.kernel = kernel_of(
            self.metrics,
            self.peers,
            self.documents,
            self.membership,
            self.service,
        )
        await self.kernel.start()
        self.addAsyncCleanup(self.kernel.stop)

    def leaf_model(self, **changes: object) -> dict[str, object]:
        model: dict[str, object] = {
            "leaf_id": "leaf-1",
            "service": "shelf",
            "failure_domain": "a",
            "address": self.leaf.address,
            "slots": 2,
        }
        return model | changes

    def batch(self, count: int = 1, **changes: object) -> PartialBatch:
        batch = PartialBatch(
            query_id="query-1",
            index="stock",
            route="search",
            snapshot=7,
            deadline_left_ms=2000,
            query=b'{"query": "speaker"}',
            requests=[
                PartialRequest(attempt_id=n, service="shelf", leaf_id="leaf-1")
                for n in range(1, count + 1)
            ],
        )
        for name, value in changes.items():
            setattr(batch, name, value)
        return batch

    async def search(self, **changes: object) -> PartialResult:
        batch = self.batch(**changes)
        return await self.service.run_partial(batch, batch.requests[0])

    async def run_once(self, deadline_left_ms: int = 2000) -> LeafRunReply:
        return await self.service.run_once(
            LeafRunRequest(
                key="key-1",
                leaf_id="leaf-1",
                deadline_left_ms=deadline_left_ms,
                body=b"{}",
            )
        )


class PartialRequestTest(UpstreamServiceCase):
    """Check outcomes and verdicts of partial requests."""

    async def test_answer_is_returned_with_its_snapshot(self) -> None:
        """Guard against lost fields of a request or its answer."""
        result = await self.search()
        self.assertEqual((result.kind, result.verdict), ("answered", "ran"))
        self.assertEqual((result.snapshot, result.body), (7, b'{"hits": []}'))
        sent = self.leaf.calls[0]
        self.assertEqual(sent["Snapshot"], "7")
        self.assertTrue(0 < int(sent["Deadline-Ms"]) <= 1000)

    async def test_header_values_cannot_add_a_request(self) -> None:
        """Guard against header injection by text from a caller."""
        result = await self.search(caller_id="a\r\n\r\nPOST /v1/run HTTP/1.1")
        self.assertEqual((result.verdict, result.reason), ("not_run", "bad_request"))
        self.assertEqual(self.leaf.calls, [])

    async def test_foreign_request_id_is_dropped(self) -> None:
        """Guard against accepting the answer to another request."""

        async def answer(request: web.Request) -> web.Response:
            headers = self.leaf.headers(request) | {"Request-Id": "other"}
            return web.json_response({"hits": []}, headers=headers)

        self.leaf.answer = answer
        result = await self.search()
        self.assertEqual(
            (result.kind, result.verdict, result.reason, result.body),
            ("failed", "may_have_run", "answer_mismatch", b""),
        )
        dropped = self.metrics.value("leaf_answers_dropped", reason="answer_mismatch")
        self.assertEqual(dropped, 1)

    async def test_other_snapshot_is_dropped(self) -> None:
        """Guard against answers that mix snapshots."""
        self.leaf.snapshot = "8"
        result = await self.search()
        self.assertEqual((result.kind, result.reason), ("failed", "snapshot_mismatch"))
        self.assertEqual(result.body, b"")

    async def test_search_answer_without_snapshot_is_dropped(self) -> None:
        """Guard against accepting an answer that names no snapshot."""
        self.leaf.snapshot = ""
        result = await self.search()
        self.assertEqual((result.kind, result.reason), ("failed", "snapshot_mismatch"))

    async def test_refusal_of_the_leaf_is_not_run(self) -> None:
        """Guard against a lost NOT_RUN verdict, which would prevent a safe retry."""

        async def answer(request: web.Request) -> web.Response:
            return self.leaf.refusal(request, 409, "snapshot_gone")

        self.leaf.answer = answer
        result = await self.search()
        self.assertEqual(
            (result.kind, result.verdict, result.reason),
            ("refused", "not_run", "snapshot_gone"),
        )

    async def test_unreachable_leaf_is_not_run(self) -> None:
        """Guard against MAY_HAVE_RUN for a call that was never written."""
        await self.leaf.stop()
        result = await self.search()
        self.assertEqual((result.kind, result.verdict), ("refused", "not_run"))

    async def test_deadline_cancels_at_the_leaf(self) -> None:
        """Guard against work that continues at the leaf after the deadline."""
        self.leaf.answer = answer_late
        result = await self.search(deadline_left_ms=100)
        self.assertEqual(
            (result.kind, result.verdict, result.reason),
            ("failed", "may_have_run", "deadline"),
        )
        await wait_until(lambda: self.leaf.cancelled)
        self.assertEqual(self.leaf.cancelled, [self.leaf.calls[0]["Request-Id"]])
        await wait_until(lambda: self.service.idle("leaf-1"))

    async def test_attempt_cancelled_at_once_frees_its_slot(self) -> None:
        """Guard against a slot that is never freed because no request was sent."""
        batch = self.batch()
        pending = asyncio.ensure_future(
            self.service.run_partial(batch, batch.requests[0])
        )
        # After one loop iteration the attempt is submitted but its call not started.
        await asyncio.sleep(0)
        self.service.cancel(batch.query_id, [1])
        self.assertEqual((await pending).verdict, "not_run")
        await wait_until(lambda: self.service.idle("leaf-1"))
        self.assertEqual((await self.search()).kind, "answered")

    async def test_unconfirmed_cancellation_keeps_the_slot(self) -> None:
        """Guard against more calls than slots at a leaf that is slow to cancel."""
        self.documents.put_index([self.leaf_model(slots=1)])
        self.leaf.answer = answer_late
        self.leaf.confirms_cancel = False
        batch = self.batch()
        pending = asyncio.ensure_future(
            self.service.run_partial(batch, batch.requests[0])
        )
        await wait_until(lambda: self.leaf.running)
        self.service.cancel(batch.query_id, [1])
        self.assertEqual((await pending).verdict, "may_have_run")
        await wait_until(lambda: self.leaf.cancelled)
        result = await self.search(query_id="query-2", deadline_left_ms=500)
        self.assertEqual((result.verdict, result.reason), ("not_run", "deadline"))
        self.assertEqual(self.leaf.running_max, 1)

    async def test_unconfirmed_home_sends_nothing_to_a_cold_leaf(self) -> None:
        """Guard against two homes that both send to a cold leaf."""
        self.membership.share = "other_half"
        result = await self.search(deadline_left_ms=150)
        self.assertEqual((result.verdict, result.reason), ("not_run", "deadline"))
        self.assertEqual(self.leaf.calls, [])

    async def test_domain_out_gets_no_new_work(self) -> None:
        """Guard against requests to a failure domain that operators took out."""
        out = [{"failure_domain": "a", "reason": "power work"}]
        self.documents.put("domains", {"out": out})
        result = await self.search()
        self.assertEqual((result.verdict, result.reason), ("not_run", "domain_out"))
        self.documents.put("domains", {"out": []})
        result = await self.search()
        self.assertEqual(result.kind, "answered")
        self.assertEqual(len(self.leaf.calls), 1)

    async def test_draining_header_stops_new_work(self) -> None:
        """Guard against new requests to a leaf that is draining."""
        self.leaf.draining = True
        await self.search()
        result = await self.search()
        self.assertEqual(result.reason, "upstream_leaving")
        self.assertEqual(len(self.leaf.calls), 1)

    async def test_lost_home_finishes_calls_and_refuses_new_ones(self) -> None:
        """Guard against an epoch that is acknowledged with calls in progress."""
        release = asyncio.Event()

        async def answer(request: web.Request) -> web.Response:
            await release.wait()
            return web.json_response({}, headers=self.leaf.headers(request))

        self.leaf.answer = answer
        first = asyncio.create_task(self.search())
        await wait_until(lambda: self.leaf.running)
        self.membership.set_home("vm-2")
        assert self.membership.release_check is not None
        self.assertFalse(self.membership.release_check("leaf-1"))
        self.assertEqual((await self.search()).reason, "not_home")
        self.membership.set_home("vm-1")
        second = await self.search(deadline_left_ms=100)
        self.assertEqual((second.verdict, second.reason), ("not_run", "deadline"))
        self.assertEqual(len(self.leaf.calls), 1)
        release.set()
        self.assertEqual((await first).kind, "answered")
        await wait_until(lambda: self.service.idle("leaf-1"))

    async def test_calls_at_once_never_exceed_the_slots(self) -> None:
        """Guard against more calls than the leaf has slots."""

        async def answer(request: web.Request) -> web.Response:
            await asyncio.sleep(0.005)
            return web.json_response({}, headers=self.leaf.headers(request))

        self.leaf.answer = answer
        batch = self.batch(count=40)
        results = await asyncio.gather(
            *(self.service.run_partial(batch, request) for request in batch.requests)
        )
        self.assertEqual({result.kind for result in results}, {"answered"})
        self.assertEqual(self.leaf.running_max, 2)
        brief = self.service.briefs.get("leaf-1")
        assert brief is not None
        self.assertEqual((brief.state, brief.limit), ("warm", 2))
        self.assertEqual(brief.snapshots, [7])


class RunOnceTest(UpstreamServiceCase):
    """Check that a non-idempotent request is sent at most once."""

    async def test_run_is_completed(self) -> None:
        """Guard against a lost key or body."""
        reply = await self.run_once()
        self.assertEqual(
            (reply.kind, reply.verdict, reply.status), ("completed", "ran", 200)
        )
        self.assertEqual(self.leaf.calls[0]["Idempotency-Key"], "key-1")

    async def test_connection_closed_after_the_request_is_not_sent_again(self) -> None:
        """Guard against an HTTP client that silently resends a run."""
        await wait_until(lambda: self.service.briefs.get("leaf-1"))
        self.leaf.answer = close_connection
        reply = await self.run_once()
        self.assertEqual((reply.kind, reply.verdict), ("failed", "may_have_run"))
        self.assertEqual(len(self.leaf.calls), 1)

    async def test_lost_connection_keeps_the_slot_until_the_deadline(self) -> None:
        """Guard against a second call to a leaf that still runs a lost one."""
        await wait_until(lambda: self.service.briefs.get("leaf-1"))
        self.leaf.answer = close_connection
        lost = await self.run_once(deadline_left_ms=300)
        self.assertEqual(lost.verdict, "may_have_run")
        self.assertFalse(self.service.idle("leaf-1"))
        self.assertEqual(self.metrics.value("leaf_slots_held"), 1)
        # The cold leaf accepts one call at a time, so this one cannot finish in time.
        refused = await self.run_once(deadline_left_ms=100)
        self.assertEqual(refused.verdict, "not_run")
        self.assertEqual(len(self.leaf.calls), 1)
        await wait_until(lambda: self.service.idle("leaf-1"))

    async def test_redirect_is_not_followed(self) -> None:
        """Guard against a 307 redirect that makes the client resend a run."""

        async def answer(request: web.Request) -> web.Response:
            headers = self.leaf.headers(request) | {"Location": "/v1/run"}
            return web.Response(status=307, headers=headers)

        self.leaf.answer = answer
        reply = await self.run_once()
        self.assertEqual((reply.kind, reply.verdict), ("failed", "may_have_run"))
        self.assertEqual(len(self.leaf.calls), 1)

    async def test_status_alone_is_no_refusal(self) -> None:
        """Guard against a second run after a status that only seems to refuse."""
        for status in (408, 421, 429, 503):
            with self.subTest(status):

                async def answer(
                    request: web.Request, status: int = status
                ) -> web.Response:
                    headers = self.leaf.headers(request)
                    return web.Response(status=status, headers=headers)

                self.leaf.answer = answer
                reply = await self.run_once()
                self.assertEqual(
                    (reply.kind, reply.verdict), ("failed", "may_have_run")
                )

    async def test_success_that_denies_its_run(self) -> None:
        """Guard against a run that is called complete though the leaf denies it."""

        async def answer(request: web.Request) -> web.Response:
            return self.leaf.refusal(request, 200, "none")

        self.leaf.answer = answer
        reply = await self.run_once()
        self.assertEqual((reply.kind, reply.verdict), ("failed", "may_have_run"))

    async def test_deadline_is_may_have_run_and_not_cancelled(self) -> None:
        """Guard against a false NOT_RUN and a cancelled reservation."""
        self.leaf.answer = answer_late
        reply = await self.run_once(deadline_left_ms=100)
        self.assertEqual((reply.verdict, reply.reason), ("may_have_run", "deadline"))
        await wait_until(lambda: self.service.idle("leaf-1"))
        self.assertEqual(self.leaf.cancelled, [])


class PeerMessageTest(UpstreamServiceCase):
    """Check the messages from a root on another VM."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        identity = DaemonIdentity(settings=daemon_settings("vm-2"))
        self.root = PeerNetwork(identity)
        kernel = kernel_of(MetricsService(), self.root)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        await self.root.set_peers({"vm-1": self.identity.peer_address})
        await wait_until(lambda: self.root.hello_of("vm-1"))

    async def test_batch_streams_every_result_and_ends(self) -> None:
        """Guard against results that are lost, doubled or late."""
        replies: list[PartialResults] = []
        async with asyncio.timeout(5):
            async for reply in self.root.stream("vm-1", self.batch(count=10)):
                replies.append(reply)
        attempts = [r.attempt_id for reply in replies for r in reply.results]
        self.assertEqual(sorted(attempts), list(range(1, 11)))

    async def test_results_that_finish_together_share_a_reply(self) -> None:
        """Guard against one reply frame per result."""
        batch = self.batch(count=10)
        for request in batch.requests:
            request.leaf_id = "unknown"
        replies = []
        async with asyncio.timeout(5):
            async for reply in self.root.stream("vm-1", batch):
                replies.append(reply)
        self.assertEqual([len(reply.results) for reply in replies], [10])
        self.assertEqual(replies[0].results[0].reason, "not_home")

    async def test_cancel_ends_an_attempt(self) -> None:
        """Guard against a losing attempt that keeps its slot."""
        self.leaf.answer = answer_late
        stream = self.root.stream("vm-1", self.batch())
        pending = asyncio.ensure_future(anext(stream))
        await wait_until(lambda: self.leaf.running)
        self.root.notify("vm-1", Cancel(query_id="query-1", attempt_ids=[1]))
        reply = await asyncio.wait_for(pending, 5)
        self.assertEqual(reply.results[0].reason, "cancelled")
        await wait_until(lambda: self.leaf.cancelled)
        await wait_until(lambda: self.service.idle("leaf-1"))

    async def test_run_request_is_answered(self) -> None:
        """Guard against a run that a peer cannot start."""
        request = LeafRunRequest(leaf_id="leaf-1", deadline_left_ms=2000, body=b"{}")
        reply = await self.root.request("vm-1", request, timeout_s=5)
        self.assertIsInstance(reply, LeafRunReply)
        self.assertEqual(reply.kind, "completed")
