"""Tests of the configuration commands against a fake server."""

from __future__ import annotations

import asyncio
import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path
from unittest.mock import patch

from fake_operator_server import TOKEN
from fake_operator_server import FakeOperatorServer
from fake_operator_server import ScriptedResponse
from gypsumvane_cli import operator_client
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.main import main

FLEET = "/v1/documents/fleet"
ACCEPTED = {
    "outcome": "accepted",
    "revision": 8,
    "in_force": ["vm-1"],
    "not_reached": ["vm-2"],
}
UNREACHABLE = "127.0.0.1:1"


class ConfigCommandsTest(unittest.IsolatedAsyncioTestCase):
    """Check requests, exit codes and change ids."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.server = FakeOperatorServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "fleet.json"
        self.file.write_text('{"defaults": {"deadline_ms": 700}}', encoding="utf-8")
        self.out = io.StringIO()
        self.err = io.StringIO()
        self.enterContext(patch.object(operator_client, "READ_BACK_PAUSE_S", 0.01))

    async def run_client(self, *arguments: str, address: str = "") -> ExitCode:
        """Run the client in a thread, beside the event loop of the server."""
        addresses = address or self.server.address
        with redirect_stderr(self.err):
            return await asyncio.to_thread(
                main,
                [*arguments, "--operator_address", addresses],
                environment={"GYPSUMVANE_TOKEN": TOKEN},
                out=self.out,
            )

    async def set_fleet(self, *arguments: str, address: str = "") -> ExitCode:
        """Run ``config set`` on the fleet document."""
        return await self.run_client(
            *("config", "set", "fleet", str(self.file), "--reason", "more time"),
            *("--expect-revision", "7"),
            *arguments,
            address=address,
        )

    async def test_conflict_names_the_other_change(self) -> None:
        """Guard against a conflict error without author, revision and reason."""
        other = {"author": "ana", "revision": 8, "reason": "power work"}
        answer = ScriptedResponse(409, {"outcome": "conflict", **other})
        self.server.script(f"PUT {FLEET}", answer)
        self.assertEqual(await self.set_fleet(), ExitCode.CONFLICT)
        self.assertIn("ana made revision 8 (power work)", self.err.getvalue())

    async def test_set_sends_revision_and_prints_where_in_force(self) -> None:
        """Guard against a change that is sent without its expected revision."""
        self.server.script(f"PUT {FLEET}", ScriptedResponse(200, ACCEPTED))
        code = await self.set_fleet("--change-id", "c1")
        self.assertEqual(code, ExitCode.DONE)
        sent = self.server.bodies("PUT")[0]
        self.assertEqual((sent["expected_revision"], sent["change_id"]), (7, "c1"))
        self.assertIn("revision 8", self.out.getvalue())
        self.assertIn("not reached: vm-2", self.out.getvalue())

    async def test_set_without_revision_uses_the_one_in_force(self) -> None:
        """Guard against a change without a condition on the current revision."""
        self.server.script(f"GET {FLEET}", ScriptedResponse(200, {"revision": 3}))
        self.server.script(f"PUT {FLEET}", ScriptedResponse(200, ACCEPTED))
        code = await self.run_client(
            "config", "set", "fleet", str(self.file), "--reason=more time"
        )
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(self.server.bodies("PUT")[0]["expected_revision"], 3)

    async def test_exit_code_of_each_answer(self) -> None:
        """Guard against exit codes that differ from the documented ones."""
        cases = [
            (409, {"outcome": "conflict", "author": "ana", "revision": 8}, 3),
            (400, {"outcome": "invalid", "message": "x"}, 2),
            (503, {"outcome": "unavailable", "message": "x"}, 1),
            (504, {"outcome": "unknown", "message": "x"}, 4),
            (401, {"outcome": "unauthorized", "message": "x"}, 1),
        ]
        for status, body, code in cases:
            with self.subTest(status=status):
                self.server.script(f"PUT {FLEET}", ScriptedResponse(status, body))
                self.assertEqual(await self.set_fleet(), code)
        self.assertEqual(await self.set_fleet(address=UNREACHABLE), 5)

    async def test_invalid_files_are_not_sent(self) -> None:
        """Guard against sending a document that the daemon would refuse."""
        for text in ("{", '{"defaults": {"deadline_ms": -1}}', "[]", '{"x": 1}'):
            self.file.write_text(text, encoding="utf-8")
            self.assertEqual(await self.set_fleet(), ExitCode.INVALID)
        self.assertEqual(self.server.received, [])
        self.assertIn("defaults.deadline_ms", self.err.getvalue())

    async def test_toml_file(self) -> None:
        """Guard against a TOML file parsed as JSON."""
        self.file = self.folder / "fleet.toml"
        self.file.write_text("[defaults]\ndeadline_ms = 700\n", encoding="utf-8")
        self.server.script(f"PUT {FLEET}", ScriptedResponse(200, ACCEPTED))
        self.assertEqual(await self.set_fleet(), ExitCode.DONE)
        sent = self.server.bodies("PUT")[0]["body"]
        self.assertEqual(sent, {"defaults": {"deadline_ms": 700}})

    async def test_second_address_gets_the_same_change_id(self) -> None:
        """Guard against a change that two daemons apply as two changes."""
        other = FakeOperatorServer()
        await other.start()
        self.addAsyncCleanup(other.stop)
        self.server.script(f"PUT {FLEET}", ScriptedResponse(None))
        other.script(f"PUT {FLEET}", ScriptedResponse(200, ACCEPTED))
        addresses = f"{UNREACHABLE},{self.server.address},{other.address}"
        self.assertEqual(await self.set_fleet(address=addresses), ExitCode.DONE)
        sent = {item["change_id"] for item in self.server.bodies("PUT")}
        sent |= {item["change_id"] for item in other.bodies("PUT")}
        self.assertEqual(len(sent), 1)

    async def test_lost_answer_is_read_back(self) -> None:
        """Guard against an unknown outcome that reading the change would settle."""
        self.server.script(f"PUT {FLEET}", ScriptedResponse(None))
        found = {"outcome": "accepted", "revision": 8}
        self.server.script(
            "GET /v1/changes/c1",
            ScriptedResponse(503, {}),
            ScriptedResponse(200, found),
        )
        code = await self.set_fleet("--change_id", "c1")
        self.assertEqual(code, ExitCode.DONE)

    async def test_lost_answer_with_unknown_outcome(self) -> None:
        """Guard against a change that may be accepted but is reported as refused."""
        self.server.script(f"PUT {FLEET}", ScriptedResponse(None))
        code = await self.set_fleet("--change_id", "c1")
        self.assertEqual(code, ExitCode.MAY_BE_ACCEPTED)
        self.assertIn("--change_id c1", self.err.getvalue())

    async def test_refusal_after_a_lost_answer_is_not_conclusive(self) -> None:
        """Guard against taking a refusal by one daemon as the outcome at another."""
        other = FakeOperatorServer()
        await other.start()
        self.addAsyncCleanup(other.stop)
        self.server.script(f"PUT {FLEET}", ScriptedResponse(None))
        refused = {"outcome": "unavailable", "message": "store answered 503"}
        other.script(f"PUT {FLEET}", ScriptedResponse(503, refused))
        addresses = f"{self.server.address},{other.address}"
        code = await self.set_fleet(address=addresses)
        self.assertEqual(code, ExitCode.MAY_BE_ACCEPTED)

    async def test_show_prints_json(self) -> None:
        """Guard against output that is not one JSON object."""
        document = {
            "name": "fleet",
            "revision": 3,
            "author": "ana",
            "reason": "start",
            "change_id": "c0",
            "body": {},
        }
        vms = [{"vm_id": "vm-1", "reached": True, "revision": 3}]
        self.server.script(f"GET {FLEET}", ScriptedResponse(200, document))
        self.server.script(
            "GET /v1/in-force/fleet", ScriptedResponse(200, {"vms": vms})
        )
        code = await self.run_client("config", "show", "fleet", "--output=json")
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(json.loads(self.out.getvalue()), {**document, "vms": vms})
        self.assertEqual(await self.run_client("config", "show", "fleet"), 0)
        self.assertIn("vm-1: revision 3 in force", self.out.getvalue())

    async def test_invalid_arguments(self) -> None:
        """Guard against invalid arguments that reach a daemon."""
        invalid_arguments = [
            [],
            ["config"],
            ["config", "set", "fleet"],
            ["config", "set", "fleet", str(self.file)],
            ["config", "show", "--nothing"],
            ["config", "show", "--timeout_s=0"],
        ]
        for arguments in invalid_arguments:
            with self.subTest(arguments=arguments):
                code = await self.run_client(*arguments)
                self.assertEqual(code, ExitCode.INVALID)
        self.assertEqual(self.server.received, [])
