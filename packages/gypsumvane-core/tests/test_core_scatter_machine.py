"""Stateful test of queries with crossed, late and repeated results."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from gypsumvane_core.clock import ManualClock
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import Policy
from gypsumvane_core.extra_attempt_budget import ExtraAttemptBudget
from gypsumvane_core.gone_snapshots import GoneSnapshots
from gypsumvane_core.hedge_delay import HedgeDelays
from gypsumvane_core.index_routes import IndexRoutes
from gypsumvane_core.index_routes import VersionChoice
from gypsumvane_core.leaf_selection import LeafSelector
from gypsumvane_core.messages import PartialResult
from gypsumvane_core.messages import UpstreamBrief
from gypsumvane_core.partial_body import parse_hit_page
from gypsumvane_core.query_attempt import Attempt
from gypsumvane_core.query_attempt import AttemptKind
from gypsumvane_core.query_state import QueryState
from gypsumvane_core.reason import Reason
from gypsumvane_core.scatter import Scatter
from gypsumvane_core.scatter import ScatterActions
from gypsumvane_core.scatter import ScatterContext
from gypsumvane_core.verdict import Verdict

# Snapshot 2 was repartitioned: s3 is new, s0 is gone.
PARTITION_MAPS = {1: ["s0", "s1", "s2"], 2: ["s1", "s2", "s3"], 3: ["s1", "s2", "s3"]}
LEAVES = [f"s{number}-{replica}" for number in range(4) for replica in "abc"]
INDEX = IndexDocument.model_validate(
    {
        "name": "stock",
        "kind": "search",
        "leaves": [
            {
                "leaf_id": leaf_id,
                "service": leaf_id[:2],
                "failure_domain": leaf_id[-1],
                "address": "127.0.0.1:9",
            }
            for leaf_id in LEAVES
        ],
        "partition_maps": PARTITION_MAPS,
    }
)
HEDGE_TOKENS = 1.0
EXTRA_TOKENS = 2.0
FAILURES = st.sampled_from(
    [
        (Reason.SNAPSHOT_GONE, Verdict.NOT_RUN),
        (Reason.QUEUE_FULL, Verdict.NOT_RUN),
        (Reason.UPSTREAM_SHED, Verdict.NOT_RUN),
        (Reason.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN),
    ]
)


def body_of(origin: str) -> bytes:
    """Return a body whose only hit names its origin."""
    return json.dumps({"hits": [{"id": origin, "score": 1}], "total": 1}).encode()


@dataclass
class Oracle:
    """Reference model of what one query may accept."""

    query_id: str
    snapshot: int = 0
    outstanding: dict[int, Attempt] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    finished: bool = False
    pins: int = 0
    reroutes: set[tuple[int, str]] = field(default_factory=set)

    def deliver(self, result: PartialResult) -> None:
        attempt = self.outstanding.get(result.attempt_id)
        if attempt is None or result.query_id != self.query_id:
            return
        same_leaf = result.leaf_id == attempt.leaf.leaf_id
        if not same_leaf or result.service != attempt.service:
            return
        del self.outstanding[result.attempt_id]
        if result.kind == "answered" and result.snapshot == self.snapshot:
            self.accepted.add(result.service)

    def follow(self, actions: ScatterActions, snapshot: int) -> None:
        for attempt in actions.cancel:
            self.outstanding.pop(attempt.attempt_id, None)
        if snapshot != self.snapshot:
            self.snapshot = snapshot
            self.pins += 1
            self.accepted.clear()
        for attempt in actions.send:
            assert not self.finished
            assert attempt.service not in self.accepted
            self.outstanding[attempt.attempt_id] = attempt
            if attempt.kind is AttemptKind.REROUTE:
                key = (snapshot, attempt.service)
                assert key not in self.reroutes
                self.reroutes.add(key)


class ScatterMachine(RuleBasedStateMachine):
    """Run two queries over a network that crosses, repeats and delays results."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.briefs: dict[str, UpstreamBrief] = {}
        self.gone = GoneSnapshots(self.clock)
        self.selector = LeafSelector(self.briefs.get, random.Random(3))
        self.budget = ExtraAttemptBudget()
        # Two queries would never exhaust the default burst.
        self.budget.hedge_tokens = HEDGE_TOKENS
        self.budget.extra_tokens = EXTRA_TOKENS
        self.context = ScatterContext(
            selector=self.selector,
            budget=self.budget,
            delays=HedgeDelays(),
            gone=self.gone,
            count=lambda counter, reason: None,
            record=lambda attempt, failed, latency_ms: None,
        )
        self.queries: list[tuple[Scatter, Oracle]] = []
        # Every result that a leaf has sent, delivered or not.
        self.results: list[PartialResult] = []
        self.sent: list[Attempt] = []

    def routes(self) -> IndexRoutes:
        return IndexRoutes(
            INDEX,
            version=VersionChoice(),
            domains_out=frozenset(),
            brief_of=self.briefs.get,
            is_gone=self.gone.is_gone,
        )

    def follow(self, number: int, actions: ScatterActions) -> None:
        scatter, oracle = self.queries[number]
        oracle.follow(actions, scatter.state.snapshot)
        for attempt in actions.send:
            self.sent.append(attempt)
            origin = f"{oracle.query_id}/{attempt.service}/{attempt.snapshot}"
            self.results.append(
                PartialResult(
                    query_id=oracle.query_id,
                    attempt_id=attempt.attempt_id,
                    service=attempt.service,
                    leaf_id=attempt.leaf.leaf_id,
                    kind="answered",
                    verdict="ran",
                    snapshot=attempt.snapshot,
                    body=body_of(origin),
                )
            )

    def deliver(self, number: int, result: PartialResult) -> None:
        scatter, oracle = self.queries[number]
        oracle.deliver(result)
        actions = scatter.on_result(result, self.clock.monotonic_s())
        self.follow(number, actions)

    @initialize(snapshots=st.lists(st.sets(st.sampled_from([1, 2, 3])), min_size=12))
    def start_queries(self, snapshots: list[set[int]]) -> None:
        for leaf_id, known in zip(LEAVES, snapshots, strict=False):
            self.set_brief(leaf_id, known, "warm")
        for number in range(2):
            state = QueryState(
                f"q{number}", parse_body=parse_hit_page, snapshot_required=True
            )
            scatter = Scatter(
                state,
                policy=Policy(),
                answer_by_s=self.clock.monotonic_s() + 1.0,
                routes=self.routes(),
                refresh_routes=self.routes,
                services_of=lambda services: services,
                context=self.context,
            )
            self.queries.append((scatter, Oracle(state.query_id)))
            self.follow(number, scatter.start(self.clock.monotonic_s()))

    @rule(
        leaf_id=st.sampled_from(LEAVES),
        snapshots=st.sets(st.sampled_from([1, 2, 3])),
        state=st.sampled_from(["warm", "cold", "unavailable"]),
    )
    def set_brief(self, leaf_id: str, snapshots: set[int], state: str) -> None:
        self.briefs[leaf_id] = UpstreamBrief(
            leaf_id=leaf_id, state=state, limit=2, snapshots=sorted(snapshots)
        )

    @precondition(lambda self: self.results)
    @rule(data=st.data(), number=st.integers(0, 1))
    def deliver_any(self, data: st.DataObject, number: int) -> None:
        self.deliver(number, data.draw(st.sampled_from(self.results)))

    @precondition(lambda self: self.results)
    @rule(
        data=st.data(),
        number=st.integers(0, 1),
        change=st.sampled_from(
            [{"snapshot": 1}, {"snapshot": 2}, {"snapshot": 3}]
            + [{"service": "s1"}, {"leaf_id": "s2-b"}, {"attempt_id": 2}]
        ),
    )
    def deliver_altered(
        self, data: st.DataObject, number: int, change: dict[str, int | str]
    ) -> None:
        result = data.draw(st.sampled_from(self.results))
        altered = replace(result, **change)  # type: ignore[arg-type]
        if altered != result:
            origin = f"{altered.query_id}/altered/{altered.snapshot}"
            self.deliver(number, replace(altered, body=body_of(origin)))

    @precondition(lambda self: self.results)
    @rule(data=st.data(), number=st.integers(0, 1), failure=FAILURES)
    def fail(
        self, data: st.DataObject, number: int, failure: tuple[Reason, Verdict]
    ) -> None:
        result = data.draw(st.sampled_from(self.results))
        reason, verdict = failure
        failed = replace(
            result, kind="failed", reason=reason, verdict=verdict, body=b""
        )
        self.deliver(number, failed)

    @rule(number=st.integers(0, 1), replica=st.sampled_from("abc"))
    def lose_home(self, number: int, replica: str) -> None:
        scatter, oracle = self.queries[number]
        lost = [a for a in self.sent if a.leaf.leaf_id.endswith(replica)]
        lost = [a for a in lost if oracle.outstanding.get(a.attempt_id) is a]
        for attempt in lost:
            del oracle.outstanding[attempt.attempt_id]
        actions = scatter.on_lost(
            lost, Reason.PEER_LOST, Verdict.MAY_HAVE_RUN, self.clock.monotonic_s()
        )
        self.follow(number, actions)

    @rule(number=st.integers(0, 1), seconds=st.sampled_from([0.01, 0.06, 0.4]))
    def wait(self, number: int, seconds: float) -> None:
        self.clock.advance(seconds)
        scatter, _ = self.queries[number]
        self.follow(number, scatter.on_tick(self.clock.monotonic_s()))

    @rule(number=st.integers(0, 1))
    def finish(self, number: int) -> None:
        scatter, oracle = self.queries[number]
        self.follow(number, scatter.finish(self.clock.monotonic_s()))
        oracle.finished = True

    @invariant()
    def answers_belong_to_their_query_and_snapshot(self) -> None:
        """Guard against mixed snapshots and hits of another query or service."""
        for scatter, oracle in self.queries:
            for part in scatter.state.parts.values():
                if part.body is not None:
                    origin = f"{oracle.query_id}/{part.service}/{oracle.snapshot}"
                    assert part.body.hits[0]["id"] == origin, part.body

    @invariant()
    def coverage_is_true(self) -> None:
        """Guard against coverage that differs from the accepted results."""
        for scatter, oracle in self.queries:
            coverage = scatter.state.coverage()
            asked = set(PARTITION_MAPS[oracle.snapshot])
            left_out = {entry.service for entry in coverage.left_out}
            assert coverage.asked == len(asked)
            assert coverage.answered == len(oracle.accepted)
            assert left_out == asked - oracle.accepted
            assert scatter.state.complete == (not left_out)
            assert oracle.pins <= 2

    @invariant()
    def attempts_are_accounted_for(self) -> None:
        """Guard against leaked load counts and extra attempts beyond the budget."""
        outstanding = [a for _, o in self.queries for a in o.outstanding.values()]
        for leaf_id in LEAVES:
            count = sum(1 for a in outstanding if a.leaf.leaf_id == leaf_id)
            assert self.selector.in_progress(leaf_id) == count
        for scatter, oracle in self.queries:
            assert scatter.done == (not oracle.outstanding)
        kinds = [attempt.kind for attempt in self.sent]
        hedges = kinds.count(AttemptKind.HEDGE)
        extras = hedges + kinds.count(AttemptKind.RETRY)
        first = kinds.count(AttemptKind.FIRST)
        assert hedges <= HEDGE_TOKENS + 0.05 * first
        assert extras <= EXTRA_TOKENS + 0.10 * first


ScatterMachineTest = ScatterMachine.TestCase
ScatterMachineTest.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
