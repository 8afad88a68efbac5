"""Tests of the document service with several daemons."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace

from daemon_fixture import TestDaemon
from daemon_fixture import connect
from daemon_fixture import exchange_heartbeats
from fake_store import FakeStore
from fake_store import PutFault
from gypsumvane_core.document_change import ChangeAccepted
from gypsumvane_core.document_change import ChangeConflict
from gypsumvane_core.document_change import ChangeInvalid
from gypsumvane_core.document_change import ChangeUnavailable
from gypsumvane_core.document_change import ChangeUnknown
from gypsumvane_core.document_change import DocumentChange
from gypsumvane_core.stored_document import decode_stored
from waiting import wait_until

KEY = "config/documents/fleet"


def fleet_change(
    change_id: str, expected_revision: int, *, deadline_ms: int = 500
) -> DocumentChange:
    """Return a change of the fleet document."""
    return DocumentChange(
        name="fleet",
        body=json.dumps({"defaults": {"deadline_ms": deadline_ms}}).encode(),
        expected_revision=expected_revision,
        change_id=change_id,
        author=f"author-{change_id}",
        reason="a test change",
    )


def index_change(name: str, *, leaves: int) -> DocumentChange:
    """Return a change that creates an index with many leaves."""
    leaf = {"service": "s1", "failure_domain": "a", "address": "127.0.0.1:80"}
    body = {
        "name": name,
        "kind": "search",
        "leaves": [{**leaf, "leaf_id": f"leaf-{n}"} for n in range(leaves)],
        "partition_maps": {},
    }
    return replace(
        fleet_change(name, 0),
        name=f"index/{name}",
        body=json.dumps(body).encode(),
    )


class DocumentServiceTest(unittest.IsolatedAsyncioTestCase):
    """Check loading, changes and replication."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fake = FakeStore()
        await self.fake.start()
        self.addAsyncCleanup(self.fake.stop)

    async def start(self, vm_id: str) -> TestDaemon:
        """Start a daemon."""
        daemon = TestDaemon(vm_id, self.fake.address)
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        return daemon

    async def start_three(self) -> list[TestDaemon]:
        """Start three connected daemons that are ready."""
        daemons = [await self.start(f"vm-{n}") for n in range(3)]
        await connect(daemons)
        for daemon in daemons:
            await daemon.documents.wait_ready()
        return daemons

    async def test_accepted_change_is_in_force_on_all_peers(self) -> None:
        """Guard against an answer to the operator before the push to peers."""
        first, second, third = await self.start_three()
        outcome = await first.documents.submit(fleet_change("c1", 0))
        self.assertEqual(
            outcome,
            ChangeAccepted("c1", 1, in_force=["vm-0", "vm-1", "vm-2"]),
        )
        self.assertEqual([d.revision("fleet") for d in (first, second, third)], [1] * 3)
        self.assertEqual(second.documents.catalogue.fleet().defaults.deadline_ms, 500)
        in_force = second.documents.in_force("fleet")
        assert in_force is not None
        self.assertGreater(in_force.since_unix_ms, 0)

    async def test_lost_peer_is_named_and_catches_up_by_digest(self) -> None:
        """Guard against a peer that never receives a document after a lost push."""
        first, second, third = await self.start_three()
        await second.peers.set_peers({})
        await first.peers.set_peers({"vm-2": third.identity.peer_address})
        await connect([first, third])
        await first.peers.set_peers(
            {"vm-1": "127.0.0.1:1", "vm-2": third.identity.peer_address}
        )
        outcome = await first.documents.submit(fleet_change("c1", 0))
        self.assertEqual(
            outcome,
            ChangeAccepted("c1", 1, in_force=["vm-0", "vm-2"], not_reached=["vm-1"]),
        )
        await connect([first, second, third])
        exchange_heartbeats([first, second, third])
        await wait_until(lambda: second.revision("fleet") == 1)

    async def test_two_operators_racing(self) -> None:
        """Guard against two accepted changes of the same revision."""
        first, second, _ = await self.start_three()
        outcomes = await asyncio.gather(
            first.documents.submit(fleet_change("c1", 0)),
            second.documents.submit(fleet_change("c2", 0)),
        )
        accepted = [o for o in outcomes if isinstance(o, ChangeAccepted)]
        conflicts = [o for o in outcomes if isinstance(o, ChangeConflict)]
        self.assertEqual((len(accepted), len(conflicts)), (1, 1))
        self.assertEqual(conflicts[0].author, f"author-{accepted[0].change_id}")
        self.assertEqual(conflicts[0].revision, 1)

    async def test_outage_refuses_changes_and_keeps_documents(self) -> None:
        """Guard against lost documents or accepted changes during an outage."""
        first, second, _ = await self.start_three()
        await first.documents.submit(fleet_change("c1", 0))
        self.fake.outage = True
        outcome = await second.documents.submit(fleet_change("c2", 1))
        self.assertIsInstance(outcome, ChangeUnavailable)
        late = await self.start("vm-3")
        await connect([first, late])
        await late.documents.wait_ready()
        self.assertEqual(late.revision("fleet"), 1)

    async def test_not_ready_without_store_and_peers(self) -> None:
        """Guard against serving from an empty configuration."""
        self.fake.outage = True
        first = await self.start("vm-0")
        second = await self.start("vm-1")
        await connect([first, second])
        calls = self.fake.calls["list"]
        await wait_until(lambda: self.fake.calls["list"] > calls + 4)
        self.assertFalse(first.documents.ready or second.documents.ready)
        self.fake.outage = False
        await first.documents.wait_ready()

    async def test_lost_answer_of_accepted_change_is_resolved(self) -> None:
        """Guard against an unknown outcome although the store can be read."""
        first, _, _ = await self.start_three()
        self.fake.put_faults = [PutFault.LOST_AFTER_WRITE]
        outcome = await first.documents.submit(fleet_change("c1", 0))
        assert isinstance(outcome, ChangeAccepted)
        self.assertEqual(outcome.revision, 1)

    async def test_unknown_outcome_is_settled_by_the_same_change_id(self) -> None:
        """Guard against a change that is applied twice after an unknown outcome."""
        first, second, _ = await self.start_three()
        self.fake.put_faults = [PutFault.LOST_AFTER_WRITE]
        self.fake.outage_after_writes = 1
        outcome = await first.documents.submit(fleet_change("c1", 0))
        self.assertIsInstance(outcome, ChangeUnknown)
        self.fake.outage = False
        self.fake.outage_after_writes = None
        await second.documents.submit(fleet_change("c2", 1, deadline_ms=600))
        again = await second.documents.submit(fleet_change("c1", 2))
        assert isinstance(again, ChangeAccepted)
        self.assertEqual(again.revision, 1)
        self.assertEqual(second.revision("fleet"), 2)
        found = await second.documents.find_change("fleet", "c1")
        assert found is not None
        self.assertEqual(found.revision, 1)

    async def test_change_id_of_another_change_is_refused(self) -> None:
        """Guard against reporting a change as accepted that was not made."""
        first, _, _ = await self.start_three()
        await first.documents.submit(fleet_change("c1", 0))
        other = fleet_change("c1", 1, deadline_ms=700)
        outcome = await first.documents.submit(other)
        self.assertIsInstance(outcome, ChangeInvalid)

    async def test_invalid_change_is_refused_with_the_key(self) -> None:
        """Guard against an error message without the invalid key."""
        first, _, _ = await self.start_three()
        change = fleet_change("c1", 0, deadline_ms=-1)
        outcome = await first.documents.submit(change)
        assert isinstance(outcome, ChangeInvalid)
        self.assertIn("defaults.deadline_ms", outcome.message)
        self.assertIsNone(self.fake.value(KEY))

    async def test_bad_body_never_replaces_a_good_one(self) -> None:
        """Guard against an invalid stored body that removes the configuration."""
        first, second, _ = await self.start_three()
        await first.documents.submit(fleet_change("c1", 0))
        value = self.fake.value(KEY)
        assert value is not None
        bad = decode_stored(value).model_copy(
            update={"revision": 2, "body": {"unknown": 1}}
        )
        self.fake.write(KEY, bad.model_dump_json().encode())
        second.store.set_watching(True)
        await wait_until(
            lambda: second.metrics.value("documents_refused", source="store") > 0
        )
        self.assertEqual(second.revision("fleet"), 1)
        restarted = await self.start("vm-3")
        await connect([second, restarted])
        await restarted.documents.wait_ready()
        exchange_heartbeats([second, restarted])
        await wait_until(lambda: restarted.revision("fleet") == 1)
        outcome = await first.documents.submit(fleet_change("c2", 2))
        assert isinstance(outcome, ChangeAccepted)
        self.assertEqual(outcome.revision, 3)

    async def test_many_large_documents_are_fetched(self) -> None:
        """Guard against replies that exceed the frame size."""
        first = await self.start("vm-0")
        await first.documents.wait_ready()
        for number in range(4):
            change = index_change(f"big-{number}", leaves=5000)
            outcome = await first.documents.submit(change)
            self.assertIsInstance(outcome, ChangeAccepted)
        outcome = await first.documents.submit(index_change("huge", leaves=9000))
        assert isinstance(outcome, ChangeInvalid)
        self.assertIn("exceeds", outcome.message)
        self.fake.outage = True
        second = await self.start("vm-1")
        await connect([first, second])
        await second.documents.wait_ready()
        self.assertEqual(
            second.documents.catalogue.revisions(),
            first.documents.catalogue.revisions(),
        )

    async def test_watcher_pushes_store_changes(self) -> None:
        """Guard against daemons without a watch that miss a change."""
        first, second, third = await self.start_three()
        await first.peers.set_peers({})
        first.store.set_watching(False)
        second.store.set_watching(True)
        await first.documents.submit(fleet_change("c1", 0))
        await wait_until(lambda: third.revision("fleet") == 1)
