"""Stateful test of documents under outages, lost answers and races."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from daemon_fixture import TestDaemon
from daemon_fixture import connect
from daemon_fixture import exchange_heartbeats
from fake_store import FakeStore
from fake_store import PutFault
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeOutcome
from gypsumvane_core.document_change import ChangeUnknown
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.messages import DocumentPush
from gypsumvane_core.stored_document import StoredDocument
from gypsumvane_core.stored_document import decode_stored
from gypsumvane_daemon.peer_network import PeerError
from waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Coroutine

VMS = st.integers(min_value=0, max_value=2)
NAMES = st.sampled_from(["fleet", "index/stock"])
# Most changes succeed, so that later steps have something to work on.
RARELY = st.sampled_from([False, False, False, True])
FAULTS = st.sampled_from([None, None, None, None, *PutFault])
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Submitted:
    """Submitted change with its reported outcome."""

    change: DocumentChange
    outcome: ChangeOutcome


def body_of(name: str, number: int) -> bytes:
    """Return a valid body that differs by number."""
    if name == "fleet":
        return json.dumps({"defaults": {"deadline_ms": 100 + number}}).encode()
    body = {"name": "stock", "kind": "search", "leaves": [], "partition_maps": {}}
    body["partition_maps"] = {str(number): []}
    return json.dumps(body).encode()


class DocumentMachine(RuleBasedStateMachine):
    """Drive three daemons and compare them with the writes to the store."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.fake = FakeStore()
        self.daemons: list[TestDaemon] = []
        self.submitted: list[Submitted] = []
        # Highest applied revision seen, by incarnation and document.
        self.min_revisions: Counter[str] = Counter()
        self.contents: dict[str, bytes] = {}

    def run(self, work: Coroutine[None, None, Result]) -> Result:
        """Run the event loop until the work is done."""
        return self.runner.run(work)

    @initialize()
    def begin(self) -> None:
        """Start the store and three daemons."""

        async def work() -> None:
            await self.fake.start()
            for number in range(3):
                self.daemons.append(TestDaemon(f"vm-{number}", self.fake.address))
                await self.daemons[-1].start()
            await connect(self.daemons)
            for daemon in self.daemons:
                await daemon.documents.wait_ready()

        self.run(work())

    def new_change(self, name: str, expected_revision: int) -> DocumentChange:
        """Return a change with a new change id."""
        number = len(self.submitted)
        return DocumentChange(
            name=name,
            body=body_of(name, number),
            expected_revision=expected_revision,
            change_id=f"change-{number}",
            author=f"operator-{number}",
            reason="a test change",
        )

    def stored(self, name: str) -> list[StoredDocument]:
        """Return all revisions ever written to the store."""
        values = self.fake.history.get(f"config/documents/{name}", [])
        return [decode_stored(value) for value in values]

    async def submit(self, vm: int, change: DocumentChange) -> ChangeOutcome:
        """Submit a change and check where it is reported to be in force."""
        outcome = await self.daemons[vm].documents.submit(change)
        if isinstance(outcome, ChangeAccepted):
            for daemon in self.daemons:
                if daemon.vm_id in outcome.in_force:
                    assert daemon.revision(change.name) >= outcome.revision
            assert set(outcome.in_force) | set(outcome.not_reached) == {
                daemon.vm_id for daemon in self.daemons
            }
        return outcome

    @rule(vm=VMS, name=NAMES, fault=FAULTS, outage=RARELY, behind=RARELY)
    def change(
        self, vm: int, name: str, fault: PutFault | None, outage: bool, behind: bool
    ) -> None:
        """Change a document, perhaps with a lost answer or a beginning outage."""
        expected = max(0, self.daemons[vm].revision(name) - behind)
        change = self.new_change(name, expected)
        self.fake.put_faults = [] if fault is None else [fault]
        if outage:
            self.fake.outage_after_writes = 1
        outcome = self.run(self.submit(vm, change))
        self.fake.put_faults = []
        self.fake.outage_after_writes = None
        self.submitted.append(Submitted(change, outcome))

    @rule(first=VMS, second=VMS, name=NAMES, fault=FAULTS)
    def race(self, first: int, second: int, name: str, fault: PutFault | None) -> None:
        """Let two operators change the same revision at once."""
        latest = self.stored(name)
        expected = latest[-1].revision if latest else 0
        one = self.new_change(name, expected)
        two = replace(
            one,
            change_id=f"{one.change_id}-other",
            body=body_of(name, 1000 + len(self.submitted)),
        )
        self.fake.put_faults = [] if fault is None else [fault]

        async def work() -> list[ChangeOutcome]:
            return await asyncio.gather(
                self.submit(first, one), self.submit(second, two)
            )

        outcomes = self.run(work())
        self.fake.put_faults = []
        self.submitted += [
            Submitted(change, outcome)
            for change, outcome in zip((one, two), outcomes, strict=True)
        ]
        accepted = [o for o in outcomes if isinstance(o, ChangeAccepted)]
        assert len(accepted) <= 1
        unknown = [o for o in outcomes if isinstance(o, ChangeUnknown)]
        if not self.fake.outage and not unknown:
            assert len(accepted) == 1

    @precondition(lambda self: self.submitted)
    @rule(vm=VMS, choice=st.integers(min_value=0), fault=FAULTS)
    def submit_again(self, vm: int, choice: int, fault: PutFault | None) -> None:
        """Submit an earlier change id on the revision in force."""
        earlier = self.submitted[choice % len(self.submitted)]
        name = earlier.change.name
        latest = self.stored(name)
        expected = latest[-1].revision if latest else 0
        change = replace(earlier.change, expected_revision=expected)
        self.fake.put_faults = [] if fault is None else [fault]
        outcome = self.run(self.submit(vm, change))
        self.fake.put_faults = []
        if isinstance(earlier.outcome, ChangeAccepted):
            if isinstance(outcome, ChangeAccepted):
                assert outcome.revision == earlier.outcome.revision
            return
        self.submitted = [item for item in self.submitted if item is not earlier]
        self.submitted.append(Submitted(change, outcome))

    @rule(outage=RARELY)
    def set_outage(self, outage: bool) -> None:
        """Begin or end an outage of the store."""
        self.fake.outage = outage

    @rule(vm=VMS, watching=st.booleans())
    def set_watching(self, vm: int, watching: bool) -> None:
        """Start or stop the store watch of a daemon."""

        async def work() -> None:
            self.daemons[vm].store.set_watching(watching)

        self.run(work())

    @rule()
    def heartbeats(self) -> None:
        """Exchange heartbeats until all daemons have the same documents."""
        self.run(self.agree())

    @rule(vm=VMS)
    def restart(self, vm: int) -> None:
        """Replace a daemon, which loads from the store or its peers."""

        async def work() -> None:
            await self.daemons[vm].stop()
            self.daemons[vm] = TestDaemon(f"vm-{vm}", self.fake.address)
            await self.daemons[vm].start()
            await connect(self.daemons)
            await self.daemons[vm].documents.wait_ready()

        self.run(work())

    @rule(vm=VMS)
    def lose_peers(self, vm: int) -> None:
        """Cut a daemon's connections to its peers until the next heartbeats."""
        lost = {daemon.vm_id: "127.0.0.1:1" for daemon in self.daemons}
        del lost[f"vm-{vm}"]
        self.run(self.daemons[vm].peers.set_peers(lost))

    @precondition(lambda self: any(self.fake.history.values()))
    @rule(vm=VMS, name=NAMES, choice=st.integers(min_value=0))
    def push_late(self, vm: int, name: str, choice: int) -> None:
        """Deliver a push of any revision that was ever accepted."""
        written = self.stored(name)
        if not written:
            return
        document = written[choice % len(written)].document()
        push = DocumentPush(documents=[document])
        sender = self.daemons[(vm + 1) % len(self.daemons)]

        async def work() -> None:
            with contextlib.suppress(PeerError):
                await sender.peers.request(f"vm-{vm}", push, timeout_s=1)

        self.run(work())

    async def agree(self) -> None:
        """Exchange heartbeats until all daemons have the same revisions."""
        await connect(self.daemons)
        best: Counter[str] = Counter()
        for daemon in self.daemons:
            best |= Counter(daemon.documents.catalogue.revisions())

        def agreed() -> bool:
            exchange_heartbeats(self.daemons)
            return all(
                daemon.revision(name) >= revision
                for daemon in self.daemons
                for name, revision in best.items()
            )

        await wait_until(agreed)

    @invariant()
    def applied_revisions_only_grow(self) -> None:
        """Check that revisions never decrease and have one content each."""
        for daemon in self.daemons:
            for name, revision in daemon.documents.catalogue.revisions().items():
                key = f"{daemon.identity.incarnation} {name}"
                assert revision >= self.min_revisions[key], "a revision decreased"
                self.min_revisions[key] = revision
                document = daemon.documents.catalogue.get(name)
                assert document is not None
                content = self.contents.setdefault(f"{name} {revision}", document.body)
                assert content == document.body, "a revision has two contents"

    @invariant()
    def store_was_written_in_order_and_once(self) -> None:
        """Check that no revision and no change id was written twice."""
        for name in ("fleet", "index/stock"):
            written = self.stored(name)
            revisions = [item.revision for item in written]
            assert revisions == list(range(1, len(written) + 1))
            change_ids = [item.change_id for item in written]
            assert len(set(change_ids)) == len(change_ids), "a change was applied twice"

    @invariant()
    def outcomes_match_stored_changes(self) -> None:
        """Check the reported outcomes against the writes to the store."""
        for item in self.submitted:
            written = {
                found.change_id: found.revision
                for found in self.stored(item.change.name)
            }
            revision = written.get(item.change.change_id)
            if isinstance(item.outcome, ChangeAccepted):
                assert revision == item.outcome.revision
            elif not isinstance(item.outcome, ChangeUnknown):
                assert revision is None, "an applied change was reported as not made"

    def teardown(self) -> None:
        """Check that all daemons converge to the stored documents."""

        async def work() -> None:
            self.fake.outage = False
            await asyncio.sleep(self.fake.late_write_delay_s)
            self.daemons[0].store.set_watching(True)
            for name in ("fleet", "index/stock"):
                written = self.stored(name)
                last = written[-1].revision if written else 0
                await wait_until(partial(self.first_daemon_has, name, last))
            await self.agree()

        try:
            if self.daemons:
                self.run(work())
                self.outcomes_match_stored_changes()
                self.applied_revisions_only_grow()
        finally:
            self.run(self.stop())
            self.runner.close()

    def first_daemon_has(self, name: str, revision: int) -> bool:
        """Return whether the first daemon has a revision in force."""
        return self.daemons[0].revision(name) == revision

    async def stop(self) -> None:
        """Stop the daemons and the store."""
        for daemon in self.daemons:
            await daemon.stop()
        await self.fake.stop()


DocumentMachineTest = DocumentMachine.TestCase
DocumentMachineTest.settings = settings(
    max_examples=20,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
)
