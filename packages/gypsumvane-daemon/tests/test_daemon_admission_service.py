"""Tests of the admission service."""

from __future__ import annotations

import asyncio
import unittest

from fake_service import kernel_of
from gypsumvane_core.admission_request import AdmissionRequest
from gypsumvane_core.clock import SystemClock
from gypsumvane_core.priority import Priority
from gypsumvane_core.reason import Reason
from gypsumvane_daemon.admission_service import SHARED_ADMISSION
from gypsumvane_daemon.admission_service import AdmissionRefused
from gypsumvane_daemon.admission_service import AdmissionService
from gypsumvane_daemon.metrics import MetricsService
from upstream_fakes import FakeDocuments


class AdmissionServiceTest(unittest.IsolatedAsyncioTestCase):
    """Check permits, refusals and callers that disconnect."""

    async def asyncSetUp(self) -> None:
        self.clock = SystemClock()
        self.documents = FakeDocuments()
        self.documents.put_policy(root_in_flight_max=1, root_queue_max=1)
        self.metrics = MetricsService()
        self.service = AdmissionService(self.clock)
        kernel = kernel_of(self.metrics, self.documents, self.service)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)

    def request(self, left_s: float = 5.0, index: str = "") -> AdmissionRequest:
        return AdmissionRequest(
            priority=Priority.SEARCH,
            caller_id="a",
            deadline_s=self.clock.monotonic_s() + left_s,
            index=index,
        )

    async def test_second_request_waits_for_the_first(self) -> None:
        """Guard against more requests in flight than the limit."""
        first = await self.service.admit(self.request())
        second = asyncio.create_task(self.service.admit(self.request()))
        await asyncio.sleep(0)
        self.assertFalse(second.done())
        first.finish(in_time=True)
        first.finish(in_time=True)
        (await second).finish(in_time=True)

    async def test_refusal_names_its_reason_and_is_counted(self) -> None:
        """Guard against refusals without a reason and a count."""
        await self.service.admit(self.request())
        waiting = asyncio.create_task(self.service.admit(self.request()))
        await asyncio.sleep(0)
        with self.assertRaises(AdmissionRefused) as caught:
            await self.service.admit(self.request())
        self.assertIs(caught.exception.reason, Reason.QUEUE_FULL)
        count = self.metrics.value("admission_refusals", reason="queue_full")
        self.assertEqual(count, 1)
        waiting.cancel()

    def put_exception(self, **values: int) -> None:
        exception = {"scope": "index:stock", "values": values, "reason": "a test"}
        exceptions = [exception] if values else []
        self.documents.put(
            "fleet",
            {
                "defaults": {"root_in_flight_max": 1, "root_queue_max": 1},
                "exceptions": exceptions,
            },
        )

    async def test_exception_gives_an_index_its_own_limits(self) -> None:
        """Guard against policy exceptions without effect, and limits that are mixed."""
        self.put_exception(root_in_flight_max=2, root_queue_max=1)
        await self.service.admit(self.request())
        permits = [await self.service.admit(self.request(index="stock")) for _ in "ab"]
        third = asyncio.create_task(self.service.admit(self.request(index="stock")))
        await asyncio.sleep(0)
        self.assertFalse(third.done())
        permits[0].finish(in_time=True)
        (await third).finish(in_time=True)

    async def test_withdrawn_exception_moves_waiting_requests(self) -> None:
        """Guard against requests that are never admitted after a change of limits."""
        self.put_exception(root_in_flight_max=1)
        first = await self.service.admit(self.request(index="stock"))
        staying = asyncio.create_task(self.service.admit(self.request(index="stock")))
        leaving = asyncio.create_task(self.service.admit(self.request(index="stock")))
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        self.put_exception()
        (await asyncio.wait_for(staying, 5)).finish(in_time=True)
        first.finish(in_time=True)

    async def test_disconnects_do_not_lower_the_limit(self) -> None:
        """Guard against a limit that is lowered because callers disconnect."""
        self.documents.put_policy(root_in_flight_max=256)
        before = self.service._admissions[SHARED_ADMISSION].in_flight_limit.limit
        for _ in range(100):
            (await self.service.admit(self.request())).abandon()
        admission = self.service._admissions[SHARED_ADMISSION]
        self.assertEqual(admission.in_flight, 0)
        self.assertEqual(admission.in_flight_limit.limit, before)

    async def test_waiting_request_is_refused_at_its_deadline(self) -> None:
        """Guard against a request that waits beyond its deadline."""
        await self.service.admit(self.request())
        with self.assertRaises(AdmissionRefused) as caught:
            await self.service.admit(self.request(left_s=0.05))
        self.assertIs(caught.exception.reason, Reason.DEADLINE)

    async def test_disconnect_releases_the_permit(self) -> None:
        """Guard against permits held by callers that have disconnected."""
        first = await self.service.admit(self.request())
        leaving = asyncio.create_task(self.service.admit(self.request()))
        await asyncio.sleep(0)
        first.finish(in_time=True)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        permit = await asyncio.wait_for(self.service.admit(self.request()), 5)
        permit.finish(in_time=True)
