"""Version moves: choice of versions, evaluation and final states."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from gypsumvane_core.answer_sampler import AnswerSample
from gypsumvane_core.document import INDEX_PREFIX
from gypsumvane_core.document import MOVE_PREFIX
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.index_routes import MoveChoice
from gypsumvane_core.index_routes import VersionChoice
from gypsumvane_core.messages import MoveFact
from gypsumvane_core.move_schedule import MoveSchedule
from gypsumvane_core.move_status import MoveStatus
from gypsumvane_core.move_status import RouteStatus
from gypsumvane_core.move_tracker import MoveTracker
from gypsumvane_core.version_in_force import version_in_force
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.move_writer import MoveWriter

if TYPE_CHECKING:
    from random import Random

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.move_tracker import RouteEvidence
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.service_ports import DocumentsPort
    from gypsumvane_daemon.service_ports import MembershipPort

logger = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.25
WRITE_RETRY_INTERVAL_S = 1.0
# A daemon that has just started may not know yet that a move was taken back.
FIRST_HEARTBEAT_WAIT_S = 2.0
DONE_REASON = "the share is 1 on every live member"
ALL_VERSIONS = MoveChoice()


class MoveService(Service):
    """Choose versions for requests and evaluate them by their answers."""

    name = "moves"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock, rng: Random) -> None:
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._metrics: MetricsService
        self._documents: DocumentsPort
        self._membership: MembershipPort
        self._writer: MoveWriter
        # By index; only the newest move of an index is tracked.
        self._trackers: dict[str, MoveTracker] = {}
        # Choice by index while no move is running.
        self._default_choices: dict[str, MoveChoice] = {}
        # By move; facts received before the document of the move was applied.
        self._pending_facts: dict[str, MoveFact] = {}
        self._state_sources: dict[str, str] = {}
        # Share applied by each peer, by move, VM and incarnation.
        self._applied_shares: dict[tuple[str, str, str], float] = {}
        self._started_at_s = 0.0
        self._heartbeat_received = False
        self._next_write_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        # By index; one write at a time, while the evaluation continues.
        self._writes: dict[str, asyncio.Task[bool]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Follow the documents and start to exchange facts and evidence."""
        self._metrics = kernel.get(MetricsService)
        self._documents = cast("DocumentsPort", kernel.find("documents"))
        self._membership = cast("MembershipPort", kernel.find("membership"))
        self._writer = MoveWriter(self._documents, vm_id=self._identity.vm_id)
        self._started_at_s = self._clock.monotonic_s()
        self._documents.on_change(self._on_document)
        self._membership.add_contributor(self)
        for move in self._documents.catalogue.moves():
            self._on_document(MOVE_PREFIX + move.index)
        for index in self._documents.catalogue.indexes():
            self._update_default_choice(index.name)
        self._task = asyncio.create_task(self._run(), name="moves")

    async def stop(self) -> None:
        """Cancel the evaluation and the writes."""
        tasks: list[asyncio.Task[Any]] = [*self._writes.values()]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def choose_version(self, index: str, route: str, draw: float) -> MoveChoice:
        """Return the version for a request and the old version as its alternative.

        ``draw`` is a random number in [0, 1).
        """
        tracker = self._trackers.get(index)
        if tracker is None or tracker.state is not MoveState.RUNNING:
            return self._default_choices.get(index, ALL_VERSIONS)
        share = self._share(tracker)
        new, old = tracker.move.to_version, tracker.move.from_version
        # Requests for the old version must not reach the version under test.
        old_choice = VersionChoice(version=old, excluded=new)
        return MoveChoice(
            version=VersionChoice(version=new) if draw < share else old_choice,
            old=old_choice if share < 1.0 else None,
        )

    def _update_default_choice(self, index: str) -> None:
        """Recompute the choice for an index while no move is running."""
        catalogue = self._documents.catalogue
        document = catalogue.index(index)
        tracker = self._trackers.get(index)
        version = self._version_in_force(index)
        if not version:
            self._default_choices.pop(index, None)
            return
        strict = document is not None and document.current_version == version
        excluded = None
        if tracker is not None and tracker.state is MoveState.TAKEN_BACK:
            excluded = tracker.move.to_version
        choice = VersionChoice(version=version, excluded=excluded, strict=strict)
        self._default_choices[index] = MoveChoice(version=choice)

    def _version_in_force(self, index: str) -> str:
        catalogue = self._documents.catalogue
        stored = catalogue.get(INDEX_PREFIX + index)
        tracker = self._trackers.get(index)
        return version_in_force(
            catalogue.index(index),
            0 if stored is None else stored.revision,
            None if tracker is None else tracker.move,
            None if tracker is None else tracker.state,
        )

    def record(
        self, index: str, route: str, version: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Record one answer as evidence for its version."""
        tracker = self._trackers.get(index)
        if tracker is not None:
            sample = AnswerSample(failed=failed, latency_ms=latency_ms)
            tracker.record(route, version, sample, self._clock.monotonic_s())

    def status(self, index: str) -> MoveStatus | None:
        """Return the status of the newest move of an index, None without one."""
        tracker = self._trackers.get(index)
        if tracker is None:
            return None
        move = tracker.move
        return MoveStatus(
            move_id=move.move_id,
            index=index,
            state=tracker.state.value,
            state_reason=tracker.taken_back_reason or move.state_reason,
            state_source=self._state_sources.get(move.move_id, "document"),
            phase=self._phase(tracker),
            share=self._share(tracker),
            late=self._is_late(tracker),
            routes=[_route_status(route) for route in tracker.routes()],
            applied={
                member.vm_id: self._share_on(tracker, member.vm_id)
                for member in self._membership.live_members()
            },
            current_version=self._version_in_force(index),
        )

    def contribute(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Add the known facts and the own evidence to a heartbeat."""
        known = dict(self._pending_facts)
        for tracker in self._trackers.values():
            known[tracker.move.move_id] = self._move_fact(tracker)
            if tracker.state is MoveState.RUNNING:
                heartbeat.evidence.extend(tracker.evidence.own_rows())
        heartbeat.move_facts.extend(known.values())

    def receive(self, heartbeat: Heartbeat, vm_id: str) -> None:
        """Apply the facts and evidence of a peer."""
        self._heartbeat_received = True
        trackers = {t.move.move_id: t for t in self._trackers.values()}
        for fact in heartbeat.move_facts:
            self._apply_fact(fact, trackers.get(fact.move_id), vm_id)
        for row in heartbeat.evidence:
            tracker = trackers.get(row.move_id)
            if tracker is not None:
                tracker.evidence.merge(row)

    def _apply_fact(
        self, fact: MoveFact, tracker: MoveTracker | None, vm_id: str
    ) -> None:
        member = self._membership.member(vm_id)
        if member is not None and tracker is not None:
            key = (fact.move_id, vm_id, member.incarnation)
            self._applied_shares[key] = fact.applied_share
        if not fact.taken_back:
            return
        if tracker is None:
            self._pending_facts[fact.move_id] = MoveFact(
                fact.move_id, True, fact.reason
            )
        elif tracker.take_back(fact.reason):
            self._on_taken_back(tracker, source=vm_id)

    def _on_document(self, name: str) -> None:
        if name.startswith(INDEX_PREFIX):
            self._update_default_choice(name.removeprefix(INDEX_PREFIX))
            return
        index = name.removeprefix(MOVE_PREFIX)
        move = self._documents.catalogue.move(index)
        if not name.startswith(MOVE_PREFIX) or move is None:
            return
        tracker = self._trackers.get(index)
        if tracker is None or tracker.move.move_id != move.move_id:
            policy = self._documents.catalogue.fleet().policy(index=index)
            tracker = MoveTracker(
                move,
                incarnation=self._identity.incarnation,
                rng=self._rng,
                good_needed=policy.move_good_answers,
            )
            self._replace_tracker(index, tracker)
        tracker.update(move)
        self._update_default_choice(index)

    def _replace_tracker(self, index: str, tracker: MoveTracker) -> None:
        previous = self._trackers.get(index)
        if previous is not None:
            old_id = previous.move.move_id
            self._applied_shares = {
                k: v for k, v in self._applied_shares.items() if k[0] != old_id
            }
        self._trackers[index] = tracker
        fact = self._pending_facts.pop(tracker.move.move_id, None)
        if fact is not None and tracker.take_back(fact.reason):
            self._on_taken_back(tracker, source="peer")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            for index, tracker in list(self._trackers.items()):
                try:
                    self._step(tracker)
                    self._write_final_state(index, tracker)
                except Exception:
                    logger.exception(
                        "version move evaluation failed; retrying at the next step"
                    )

    def _step(self, tracker: MoveTracker) -> None:
        reason = tracker.step(self._clock.monotonic_s(), self._clock.unix_s())
        if reason is not None and tracker.take_back(reason):
            self._on_taken_back(tracker, source="evidence")
        elif tracker.suspicious:
            # One daemon alone sees too few canary answers for a quick verdict, and
            # counts that wait for the next heartbeat are up to 0.5 s old.
            self._membership.heartbeat_now()

    def _on_taken_back(self, tracker: MoveTracker, *, source: str) -> None:
        self._update_default_choice(tracker.move.index)
        self._state_sources[tracker.move.move_id] = source
        self._metrics.count("moves_taken_back")
        # Peers send requests to the new version until they receive the fact.
        self._membership.heartbeat_now()
        logger.warning(
            "version move taken back; routing all requests to the old version",
            extra={
                "move_id": tracker.move.move_id,
                "cause": tracker.taken_back_reason,
                "source": source,
            },
        )

    def _write_final_state(self, index: str, tracker: MoveTracker) -> None:
        move = tracker.move
        if self._membership.home_of_key(MOVE_PREFIX + index) != self._identity.vm_id:
            return
        if tracker.state is MoveState.TAKEN_BACK:
            state, reason = MoveState.TAKEN_BACK, tracker.taken_back_reason or ""
        elif move.state is MoveState.DONE or self._is_done(tracker):
            state, reason = MoveState.DONE, DONE_REASON
        else:
            return
        now_s = self._clock.monotonic_s()
        if move.state is state and self._writer.is_recorded(move):
            return
        if now_s < self._next_write_s.get(index, 0.0):
            return
        previous = self._writes.get(index)
        if previous is not None and not previous.done():
            return
        self._next_write_s[index] = now_s + WRITE_RETRY_INTERVAL_S
        self._writes[index] = asyncio.create_task(
            self._writer.write(index, move.move_id, state, reason)
        )

    def _is_done(self, tracker: MoveTracker) -> bool:
        if self._share(tracker) < 1.0:
            return False
        members = self._membership.live_members()
        return bool(members) and all(
            self._share_on(tracker, member.vm_id) == 1.0 for member in members
        )

    def _share_on(self, tracker: MoveTracker, vm_id: str) -> float | None:
        if vm_id == self._identity.vm_id:
            return self._share(tracker)
        member = self._membership.member(vm_id)
        if member is None:
            return None
        return self._applied_shares.get(
            (tracker.move.move_id, vm_id, member.incarnation)
        )

    def _share(self, tracker: MoveTracker) -> float:
        if tracker.move.state is MoveState.RUNNING and not self._facts_known():
            return 0.0
        return tracker.share(self._clock.unix_s())

    def _facts_known(self) -> bool:
        waited_s = self._clock.monotonic_s() - self._started_at_s
        return self._heartbeat_received or waited_s >= FIRST_HEARTBEAT_WAIT_S

    def _move_fact(self, tracker: MoveTracker) -> MoveFact:
        return MoveFact(
            move_id=tracker.move.move_id,
            taken_back=tracker.state is MoveState.TAKEN_BACK,
            reason=tracker.taken_back_reason or "",
            applied_share=self._share(tracker),
        )

    def _phase(self, tracker: MoveTracker) -> str:
        if tracker.state is not MoveState.RUNNING:
            return "ended"
        if self._clock.unix_s() < tracker.move.start_unix_s:
            return "waiting"
        return "canary" if tracker.proven_at_unix_s is None else "scheduled"

    def _is_late(self, tracker: MoveTracker) -> bool:
        if tracker.state is not MoveState.RUNNING:
            return False
        proven_s = tracker.proven_at_unix_s or self._clock.unix_s()
        full_at_s = MoveSchedule(tracker.move).full_at_unix_s(proven_s)
        return full_at_s > tracker.move.complete_by_unix_s


def _route_status(route: RouteEvidence) -> RouteStatus:
    counts = route.counts
    return RouteStatus(
        route=counts.route,
        old_answers=counts.old_answers,
        old_failures=counts.old_failures,
        old_slow=counts.old_slow,
        new_answers=counts.new_answers,
        new_failures=counts.new_failures,
        new_slow=counts.new_slow,
        good_needed=route.good_needed,
    )
