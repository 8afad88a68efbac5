"""Callers that search continuously while a test injects faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from gypsumvane_devtools.answer_check import check_answer
from gypsumvane_devtools.entry_address_cache import EntryAddressCache
from gypsumvane_devtools.load_result import LoadResult
from gypsumvane_devtools.polling import wait_until

if TYPE_CHECKING:
    from types import TracebackType

    from gypsumvane_devtools.cluster import Cluster

QUERIES = ("speaker", "mixer cable", "line array", "stage box xlr", "truss rack")
WAIT_TIMEOUT_S = 45.0
HITS = 10
CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """Request whose connection ended without an answer."""

    address: str
    error: str


class CallerLoad:
    """Run several callers, each with one search in progress at a time."""

    def __init__(self, cluster: Cluster, index: str, *, callers: int) -> None:
        self.result = LoadResult()
        self.outcomes: Counter[str] = Counter()
        self.complete_by_coverage: Counter[tuple[int, int]] = Counter()
        self.lost_answers: list[LostAnswer] = []
        self.answers = 0
        self.incomplete: list[dict[str, Any]] = []
        self._cluster = cluster
        self._index = index
        self._callers = callers
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        # Number of requests that each caller has started.
        self._sent = [0] * callers
        self._session: aiohttp.ClientSession
        plan = next(entry for entry in cluster.plan.indexes if entry.name == index)
        # A test that adds a snapshot adds its partition map here.
        self.oracle = plan.oracle(cluster.plan.seed)

    async def __aenter__(self) -> CallerLoad:
        """Start the callers."""
        self._session = aiohttp.ClientSession()
        self._tasks = [
            asyncio.create_task(self._call_repeatedly(number))
            for number in range(self._callers)
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the callers after their requests in progress."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        await self._session.close()

    async def wait_answers(self, answers: int) -> None:
        """Wait until the callers have received this many further answers."""
        wanted = self.answers + answers
        await self._until(lambda: self.answers >= wanted, f"{answers} more answers")

    async def wait_earlier_requests(self) -> None:
        """Wait until all requests that were in progress at the call have ended."""
        before = list(self._sent)

        def all_started_two_more() -> bool:
            # The next request of each caller has ended as well, so that the
            # cancellations of losing attempts have arrived.
            return all(
                now >= then + 2 for now, then in zip(self._sent, before, strict=True)
            )

        await self._until(all_started_two_more, "earlier requests ended")

    async def wait_complete(self, answers: int = 30) -> None:
        """Wait until this many consecutive answers are complete."""
        start = self.answers

        def enough_consecutive() -> bool:
            last = max(start, self._last_incomplete)
            return self.answers - last >= answers

        await self._until(enough_consecutive, "answers are complete again")

    def describe_incomplete(self) -> list[str]:
        """Return a description of each answer that was not complete."""
        return [
            f"{values['number']} at {values['address']}: {values['outcome']} "
            f"{values.get('reason') or values.get('coverage')}"
            for values in self.incomplete
        ]

    @property
    def _last_incomplete(self) -> int:
        return self.incomplete[-1]["number"] if self.incomplete else 0

    async def _until(self, condition: Any, what: str) -> None:
        def checked() -> bool:
            for task in self._tasks:
                if task.done():
                    task.result()
            return bool(condition())

        await wait_until(checked, what, timeout_s=WAIT_TIMEOUT_S, interval_s=0.02)

    async def _call_repeatedly(self, number: int) -> None:
        domains = self._cluster.plan.domains
        initial = self._cluster.caller_addresses()
        address_cache = EntryAddressCache(
            self._session,
            initial_addresses=initial[number % len(initial) :] + initial,
            failure_domain=domains[number % len(domains)],
            clock=asyncio.get_running_loop().time,
        )
        while not self._stopping:
            addresses = await address_cache.addresses()
            sent = self._sent[number]
            request_id = f"caller-{number}-{sent}"
            query = QUERIES[(number + sent) % len(QUERIES)]
            self._sent[number] += 1
            await self._call(addresses, request_id, query)

    async def _call(self, addresses: list[str], request_id: str, query: str) -> None:
        # A caller tries the next address when it cannot connect to one.
        for address in addresses:
            try:
                values = await self._search(address, request_id, query)
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError) as error:
                self.lost_answers.append(LostAnswer(address, repr(error)))
                return
            self._count({**values, "address": address}, request_id, query)
            return
        await asyncio.sleep(0.05)

    async def _search(
        self, address: str, request_id: str, query: str
    ) -> dict[str, Any]:
        url = f"http://{address}/v1/indexes/{self._index}/search"
        headers = {"Request-Id": request_id, "Caller-Id": request_id.rpartition("-")[0]}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        body = {"query": query, "limit": HITS}
        async with self._session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as answer:
            return dict(await answer.json())

    def _count(self, values: dict[str, Any], request_id: str, query: str) -> None:
        self.answers += 1
        self.outcomes[values["outcome"]] += 1
        check_answer(values, request_id, self.result)
        if "coverage" in values:
            right = self.oracle.is_correct(values, query, limit=HITS)
            self.result.wrong_hits += not right
        if values["outcome"] != "complete":
            self.incomplete.append({"number": self.answers, **values})
            return
        self.complete_by_coverage[values["snapshot"], values["coverage"]["asked"]] += 1
