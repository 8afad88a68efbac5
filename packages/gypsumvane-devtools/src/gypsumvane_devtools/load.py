"""Open-loop load generator for the callers' interface."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import uvloop
from absl import app as absl_app
from absl import flags

from gypsumvane_devtools.answer_check import check_answer
from gypsumvane_devtools.entry_address_cache import EntryAddressCache
from gypsumvane_devtools.load_plan import LoadKind
from gypsumvane_devtools.load_plan import LoadPlan
from gypsumvane_devtools.load_result import LOST_OUTCOME
from gypsumvane_devtools.load_result import LoadResult
from gypsumvane_devtools.load_result import Observation
from gypsumvane_devtools.load_result import RunRecord
from gypsumvane_devtools.load_result import new_histogram

if TYPE_CHECKING:
    from collections.abc import Iterator

FLAGS = flags.FLAGS
# Wait after the deadline, so that late answers are seen.
LATE_ANSWER_WAIT_S = 2.0
CONNECT_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one request, due `due_s` seconds after the start of the run."""

    number: int
    due_s: float
    caller: int
    body: bytes
    idempotency_key: str = ""


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Generate Poisson arrivals; equal plans give equal arrivals."""
    rng = random.Random(plan.seed)
    due_s = 0.0
    number = 0
    while True:
        due_s += rng.expovariate(plan.rate_per_s)
        if due_s >= plan.duration_s:
            return
        number += 1
        key = f"{plan.key_prefix}-{plan.seed}-{number}"
        body = json.dumps(request_body(plan, rng, key)).encode()
        caller = rng.randrange(plan.callers)
        is_run = plan.kind is LoadKind.RUN
        yield Arrival(number, due_s, caller, body, key if is_run else "")


def request_body(plan: LoadPlan, rng: random.Random, key: str) -> dict[str, Any]:
    """Return the body of one request."""
    if plan.kind is LoadKind.SEARCH:
        return {"query": rng.choice(plan.queries), "limit": plan.limit}
    if plan.kind is LoadKind.LOOKUP:
        return {"key": rng.choice(plan.record_keys or ["unknown"])}
    return {"key": f"record-{key}", "items": rng.randint(1, 9)}


class LoadRunner:
    """Send the requests of a plan on schedule and record their outcomes."""

    def __init__(self, plan: LoadPlan, session: aiohttp.ClientSession) -> None:
        self.result = LoadResult()
        self._plan = plan
        self._session = session
        self._loop = asyncio.get_running_loop()
        self._histogram = new_histogram()
        self._start_s = 0.0
        self._address_caches = [
            self._new_address_cache(number) for number in range(plan.callers)
        ]
        self._path = f"/v1/indexes/{plan.index}/{plan.kind}"

    async def run(self) -> LoadResult:
        """Send all requests, wait until they end and return the result."""
        self._start_s = self._loop.time()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals(self._plan):
                await self._sleep_until(self._start_s + arrival.due_s)
                group.create_task(self._request(arrival))
        self.result.finish(self._histogram)
        return self.result

    def _new_address_cache(self, number: int) -> EntryAddressCache:
        plan = self._plan
        start = number % len(plan.addresses)
        return EntryAddressCache(
            self._session,
            initial_addresses=plan.addresses[start:] + plan.addresses[:start],
            failure_domain=plan.failure_domains[number % len(plan.failure_domains)],
            clock=self._loop.time,
        )

    async def _sleep_until(self, due_s: float) -> None:
        wait_s = due_s - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        else:
            lag_ms = -wait_s * 1000
            self.result.send_lag_max_ms = max(self.result.send_lag_max_ms, lag_ms)

    async def _request(self, arrival: Arrival) -> None:
        request_id = f"{self._plan.key_prefix}-{self._plan.seed}-{arrival.number}"
        try:
            values = await self._exchange(arrival, request_id)
        except (aiohttp.ClientError, TimeoutError) as error:
            values = {"outcome": LOST_OUTCOME, "reason": type(error).__name__}
        latency_s = self._loop.time() - self._start_s - arrival.due_s
        self._record(arrival, values, latency_s)

    def _record(
        self, arrival: Arrival, values: dict[str, Any], latency_s: float
    ) -> None:
        outcome = str(values.get("outcome", "unknown"))
        if outcome in ("complete", "partial"):
            self._histogram.record_value(max(1, int(latency_s * 1e6)))
        self.result.record(
            Observation(
                intended_s=arrival.due_s,
                latency_s=latency_s,
                outcome=outcome,
                verdict=str(values.get("verdict", "")),
                reason=str(values.get("reason", "")),
                in_time=latency_s * 1000 <= self._plan.deadline_ms,
            )
        )
        if arrival.idempotency_key:
            verdict = str(values.get("verdict", "none"))
            key = str(values.get("used_key", arrival.idempotency_key))
            self.result.runs.append(RunRecord(key, outcome, verdict))

    async def _exchange(self, arrival: Arrival, request_id: str) -> dict[str, Any]:
        headers = {
            "Request-Id": request_id,
            "Caller-Id": f"caller-{arrival.caller}",
            "Deadline-Ms": str(self._plan.deadline_ms),
            "Content-Type": "application/json",
        }
        addresses = await self._addresses(arrival)
        if arrival.idempotency_key:
            key = await self._idempotency_key(arrival, addresses)
            headers["Idempotency-Key"] = key
        values = await self._send(addresses, arrival.body, headers)
        check_answer(values, request_id, self.result)
        self._check_hits(arrival, values)
        if arrival.idempotency_key:
            values["used_key"] = headers["Idempotency-Key"]
        return values

    def _check_hits(self, arrival: Arrival, values: dict[str, Any]) -> None:
        oracle = self._plan.oracle
        if oracle is None or "coverage" not in values:
            return
        query = json.loads(arrival.body)["query"]
        if not oracle.is_correct(values, query, limit=self._plan.limit):
            self.result.wrong_hits += 1

    async def _addresses(self, arrival: Arrival) -> list[str]:
        if self._plan.asks_entry_addresses:
            return await self._address_caches[arrival.caller].addresses()
        addresses = self._plan.addresses
        start = arrival.number % len(addresses)
        return addresses[start:] + addresses[:start]

    async def _idempotency_key(self, arrival: Arrival, addresses: list[str]) -> str:
        if not self._plan.reserves_keys:
            return arrival.idempotency_key
        url = f"http://{addresses[0]}/v1/idempotency-keys"
        async with self._session.post(url, json={"count": 1}) as answer:
            values = json.loads(await answer.read())
        return str(values["keys"][0])

    async def _send(
        self, addresses: list[str], body: bytes, headers: dict[str, str]
    ) -> dict[str, Any]:
        # Only a failed connect moves on to the next address: after any other error
        # the request may have run, so it is not repeated.
        for address in addresses[: CONNECT_ATTEMPTS - 1]:
            try:
                return await self._post(address, body, headers)
            except aiohttp.ClientConnectorError:
                continue
        return await self._post(addresses[-1], body, headers)

    async def _post(
        self, address: str, body: bytes, headers: dict[str, str]
    ) -> dict[str, Any]:
        url = f"http://{address}{self._path}"
        async with self._session.post(url, data=body, headers=headers) as answer:
            return dict(json.loads(await answer.read()))


async def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan in this process."""
    timeout = aiohttp.ClientTimeout(total=plan.deadline_ms / 1000 + LATE_ANSWER_WAIT_S)
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        return await LoadRunner(plan, session).run()


def main(argv: list[str]) -> None:
    """Run the plan of a file and print the result as JSON."""
    plan = LoadPlan.model_validate_json(Path(FLAGS.plan).read_text(encoding="utf-8"))
    result = uvloop.run(run_load(plan))
    json.dump(asdict(result), sys.stdout)


if __name__ == "__main__":
    flags.DEFINE_string("plan", None, "File with the load plan.", required=True)
    absl_app.run(main)
