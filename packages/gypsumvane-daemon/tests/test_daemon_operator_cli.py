"""Tests of the operator client against the operator API."""

from __future__ import annotations

import asyncio
import io
import json
import tempfile
import unittest
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from daemon_fixture import TestDaemon
from daemon_fixture import settings
from daemon_settings import TOKEN
from fake_service import FakeService
from fake_store import FakeStore
from fake_store import PutFault
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.main import main
from gypsumvane_core.messages import Member
from gypsumvane_core.messages import UpstreamBrief
from tls_files import CertificateAuthority


@dataclass
class FakeView:
    """View with an epoch and members."""

    epoch: int
    members: tuple[Member, ...]


class FakeMembership(FakeService):
    """Fake membership with a fixed view."""

    name = "membership"

    def __init__(self, *vm_ids: str) -> None:
        members = tuple(Member(vm_id=vm_id) for vm_id in vm_ids)
        self.view = FakeView(epoch=3, members=members)
        self.contributors: list[object] = []

    def live_members(self) -> list[Member]:
        """Return all members."""
        return list(self.view.members)

    def is_leaving(self, vm_id: str) -> bool:
        """Return that no member is leaving."""
        return False

    def home_of(self, leaf_id: str) -> str:
        """Return a fixed home."""
        return "vm-1"

    def grade(self, leaf_id: str) -> str:
        """Return full authority."""
        return "full"

    def allowance(self, leaf_id: str, limit: int) -> int:
        """Return the whole limit."""
        return limit

    def add_contributor(self, contributor: object) -> None:
        """Record the contributor."""
        self.contributors.append(contributor)


@dataclass
class FakeUpstreams(FakeService):
    """Fake upstreams with given briefs."""

    name = "upstreams"
    briefs: dict[str, UpstreamBrief] = field(default_factory=dict)


class OperatorCliTest(unittest.IsolatedAsyncioTestCase):
    """Check the commands of the client against the listener."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fake = FakeStore()
        await self.fake.start()
        self.addAsyncCleanup(self.fake.stop)
        self.upstreams = FakeUpstreams()
        self.membership = FakeMembership("vm-1", "vm-2")
        self.daemon = TestDaemon(
            "vm-1", self.fake.address, self.membership, self.upstreams
        )
        await self.daemon.start()
        self.addAsyncCleanup(self.daemon.stop)
        await self.daemon.documents.wait_ready()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "document.json"

    async def run_client(
        self, *arguments: str, expected: ExitCode = ExitCode.DONE
    ) -> Any:
        """Run a command and return its JSON output."""
        out = io.StringIO()
        address = self.daemon.identity.operator_address
        code = await asyncio.to_thread(
            main,
            [*arguments, "--output=json", f"--operator_address={address}"],
            environment={"GYPSUMVANE_TOKEN": TOKEN},
            out=out,
        )
        self.assertEqual(code, expected)
        return json.loads(out.getvalue()) if expected is ExitCode.DONE else None

    async def set_document(self, name: str, body: dict[str, Any]) -> Any:
        """Run ``config set``."""
        self.file.write_text(json.dumps(body), encoding="utf-8")
        return await self.run_client(
            *("config", "set", name, str(self.file), "--reason=a test")
        )

    async def test_commands(self) -> None:
        """Guard against a command that the daemon rejects or misreads."""
        self.fake.put_faults = [PutFault.LOST_AFTER_WRITE]
        answer = await self.set_document("fleet", {"defaults": {"page_size_max": 9}})
        self.assertEqual((answer["revision"], answer["in_force"]), (1, ["vm-1"]))
        self.assertEqual(answer["not_reached"], ["vm-2"])
        shown = await self.run_client("config", "show", "fleet")
        self.assertEqual(shown["body"], {"defaults": {"page_size_max": 9}})
        self.assertEqual([vm["reached"] for vm in shown["vms"]], [True, False])
        out = await self.run_client("domain", "out", "a", "--reason=power work")
        self.assertIn("no leaf is in failure domain a", out["warnings"][0])
        listed = await self.run_client("domain", "list")
        self.assertEqual(listed["out"][0]["failure_domain"], "a")
        await self.run_client("domain", "in", "a", "--reason=power is back")
        start = (
            *("move", "start", "stock", "--move_id=m1", "--from_version=v1"),
            *("--to_version=v2", "--complete_by=9999999999", "--reason=new version"),
            "--change-id=c1",
        )
        for _ in range(2):
            self.assertEqual((await self.run_client(*start))["revision"], 1)
        await self.run_client("move", "take-back", "stock", "--reason=bad answers")
        move = await self.run_client("move", "show", "stock")
        self.assertEqual(move["move"]["state_reason"], "bad answers")

    async def test_vms_and_leaf(self) -> None:
        """Guard against state that is missing in the client's output."""
        vms = await self.run_client("vm", "list")
        self.assertEqual([vm["vm_id"] for vm in vms["vms"]], ["vm-1", "vm-2"])
        self.assertEqual(vms["epoch"], 3)
        leaf = {
            "leaf_id": "stock-1a",
            "service": "stock-1",
            "failure_domain": "a",
            "address": "127.0.0.1:80",
        }
        index = {
            "name": "stock",
            "kind": "search",
            "leaves": [leaf],
            "partition_maps": {"7": ["stock-1"]},
        }
        await self.set_document("index/stock", index)
        out = await self.run_client("domain", "out", "a", "--reason=power work")
        self.assertNotIn("warnings", out)
        brief = UpstreamBrief(leaf_id="stock-1a", state="warm", limit=2, queued=1)
        self.upstreams.briefs["stock-1a"] = brief
        explained = await self.run_client("leaf", "explain", "stock-1a")
        self.assertEqual(explained["home"], "vm-1")
        self.assertEqual(explained["address"], "127.0.0.1:80")
        self.assertEqual(explained["version"], "v1")
        self.assertEqual(explained["slots_at_asked_vm"], 2)
        self.assertEqual((explained["state"], explained["queued"]), ("warm", 1))

    async def test_client_speaks_tls_with_its_own_certificate(self) -> None:
        """Guard against operators that cannot reach a listener with TLS."""
        authority = CertificateAuthority(self)
        daemon = TestDaemon(
            "vm-1", self.fake.address, FakeMembership("vm-1"), FakeUpstreams()
        )
        daemon.identity.settings = settings(
            "vm-1", self.fake.address, operators={"tls": authority.issue()}
        )
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        self.daemon = daemon
        own = authority.issue()
        trusted = f"--tls_authority_file={authority.file}"
        certificate = (
            f"--tls_certificate_file={own.certificate_file}",
            f"--tls_key_file={own.key_file}",
        )
        vms = await self.run_client("vm", "list", trusted, *certificate)
        self.assertEqual(len(vms["vms"]), 1)
        for flags in (
            (),
            (trusted,),
            (f"--tls_authority_file={CertificateAuthority(self).file}",),
        ):
            with self.subTest(flags=flags):
                await self.run_client(
                    "vm", "list", *flags, expected=ExitCode.UNREACHABLE
                )

    async def test_digest_is_contributed_to_heartbeats(self) -> None:
        """Guard against daemons that never compare their documents."""
        self.assertEqual(self.membership.contributors, [self.daemon.documents])
