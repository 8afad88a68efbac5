"""Tests of the commands for domains, moves, VMs and leaves."""

from __future__ import annotations

import asyncio
import io
import unittest
from contextlib import redirect_stderr
from dataclasses import asdict

from fake_operator_server import TOKEN
from fake_operator_server import FakeOperatorServer
from fake_operator_server import ScriptedResponse
from gypsumvane_cli.exit_code import ExitCode
from gypsumvane_cli.input_validation import parse_time
from gypsumvane_cli.main import main
from gypsumvane_core.move_status import MoveStatus
from gypsumvane_core.move_status import RouteStatus

ACCEPTED = {"outcome": "accepted", "revision": 2, "in_force": [], "not_reached": []}
REASON = ("--reason", "power work")


def move_body(state: str) -> dict[str, object]:
    """Return the body with which a daemon describes a move."""
    return {
        "document": {"revision": 2},
        "move": {
            "move_id": "m1",
            "index": "stock",
            "from_version": "v1",
            "to_version": "v2",
            "start_unix_s": 1000.0,
            "complete_by_unix_s": 2000.0,
            "canary_share": 0.02,
            "state": state,
            "state_reason": "",
        },
        "vms": [
            {"vm_id": "vm-1", "reached": True, "revision": 1},
            {"vm_id": "vm-2", "reached": False},
        ],
    }


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    """Check the requests and the output of each command."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.server = FakeOperatorServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.out = io.StringIO()
        self.err = io.StringIO()

    async def run_client(self, *arguments: str) -> ExitCode:
        """Run the client in a thread, beside the event loop of the server."""
        with redirect_stderr(self.err):
            return await asyncio.to_thread(
                main,
                ["--operator_address", self.server.address, *arguments],
                environment={"GYPSUMVANE_TOKEN": TOKEN},
                out=self.out,
            )

    async def test_domain_out_and_in(self) -> None:
        """Guard against a change without a reason or for an invalid domain name."""
        for action in ("out", "in"):
            self.server.script(
                f"POST /v1/domains/a/{action}", ScriptedResponse(200, ACCEPTED)
            )
            code = await self.run_client("domain", action, "a", *REASON)
            self.assertEqual(code, ExitCode.DONE)
        bodies = self.server.bodies("POST")
        self.assertEqual({body["reason"] for body in bodies}, {"power work"})
        self.assertEqual(len({body["change_id"] for body in bodies}), 2)
        for arguments in (["domain", "out", "a"], ["domain", "out", "A/b", *REASON]):
            self.assertEqual(await self.run_client(*arguments), ExitCode.INVALID)
        self.assertEqual(len(self.server.received), 2)

    async def test_warnings_are_printed(self) -> None:
        """Guard against a misspelled failure domain that goes unnoticed."""
        answer = {**ACCEPTED, "warnings": ["no leaf is in failure domain a"]}
        self.server.script("POST /v1/domains/a/out", ScriptedResponse(200, answer))
        self.assertEqual(await self.run_client("domain", "out", "a", *REASON), 0)
        self.assertIn("warning: no leaf is in failure domain a", self.out.getvalue())

    async def test_domain_list(self) -> None:
        """Guard against a list without reasons or with raw Unix times."""
        entry = {"failure_domain": "a", "reason": "power work"}
        out = [{**entry, "since_unix_s": 3600.5}]
        answer = {"revision": 1, "out": out}
        self.server.script("GET /v1/domains", ScriptedResponse(200, answer))
        self.assertEqual(await self.run_client("domain", "list"), ExitCode.DONE)
        self.assertIn("power work", self.out.getvalue())
        self.assertIn("1970-01-01T01:00:00+00:00", self.out.getvalue())

    async def test_move_start(self) -> None:
        """Guard against wrong times or a default share in the request."""
        self.server.script(
            "POST /v1/moves/stock/start", ScriptedResponse(200, ACCEPTED)
        )
        arguments = [
            *("move", "start", "stock", "--move_id=m1", "--from_version=v1"),
            *("--to_version=v2", "--start=1970-01-01T01:00:00"),
            *("--complete_by=1970-01-01T02:00:00+01:00", *REASON),
        ]
        self.assertEqual(await self.run_client(*arguments), ExitCode.INVALID)
        arguments[-3] = "--complete_by=7200"
        self.assertEqual(await self.run_client(*arguments), ExitCode.DONE)
        body = self.server.bodies("POST")[0]
        self.assertEqual(body["start_unix_s"], 3600)
        self.assertEqual(body["complete_by_unix_s"], 7200)
        self.assertNotIn("canary_share", body)

    async def test_move_start_names_the_missing_flag(self) -> None:
        """Guard against an error that does not name the missing flag."""
        flags = ("--move_id=m1", "--from_version=v1", "--to_version=v2")
        code = await self.run_client("move", "start", "stock", *flags, *REASON)
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("--complete_by is missing", self.err.getvalue())
        self.assertEqual(self.server.received, [])

    async def test_move_take_back_and_show(self) -> None:
        """Guard against an old revision that is shown as in force."""
        self.server.script(
            "POST /v1/moves/stock/take-back", ScriptedResponse(200, ACCEPTED)
        )
        code = await self.run_client("move", "take-back", "stock", *REASON)
        self.assertEqual(code, ExitCode.DONE)
        self.server.script(
            "GET /v1/moves/stock", ScriptedResponse(200, move_body("running"))
        )
        self.assertEqual(await self.run_client("move", "show", "stock"), 0)
        self.assertIn("vm-1: revision 1 (behind)", self.out.getvalue())
        self.assertIn("vm-2: not reached", self.out.getvalue())

    async def test_move_taken_back_by_daemon(self) -> None:
        """Guard against a move shown as running until its document is updated."""
        route = RouteStatus("search", 90, 0, 1, 12, 6, 0, good_needed=20)
        status = MoveStatus(
            move_id="m1",
            index="stock",
            state="taken_back",
            state_reason="errors",
            state_source="evidence",
            phase="ended",
            share=0.0,
            late=False,
            routes=[route],
            applied={"vm-1": 0.25},
            current_version="v1",
        )
        body = {**move_body("running"), "status": asdict(status)}
        self.server.script("GET /v1/moves/stock", ScriptedResponse(200, body))
        self.assertEqual(await self.run_client("move", "watch", "stock"), 1)
        for text in (
            "v2: taken_back",
            "current version v1",
            "12 answers (6 failed",
            "share 0.250",
        ):
            self.assertIn(text, self.out.getvalue())

    async def test_move_watch_ends_with_the_move(self) -> None:
        """Guard against a watch that ends early or with the wrong exit code."""
        ends = (("done", ExitCode.DONE), ("taken_back", ExitCode.NOT_ACCEPTED))
        for state, code in ends:
            self.server.script(
                "GET /v1/moves/stock",
                ScriptedResponse(200, move_body("running")),
                ScriptedResponse(503, {"outcome": "not_ready"}),
                ScriptedResponse(None),
                ScriptedResponse(200, move_body(state)),
            )
            watch = ("move", "watch", "stock", "--interval_s=0.01")
            self.assertEqual(await self.run_client(*watch), code)

    async def test_vm_list_and_leaf_explain(self) -> None:
        """Guard against tables with missing columns."""
        vms = [{"vm_id": "vm-1", "live": True, "leaving": False}]
        asked = {"asked_vm": "vm-1", "asked_vm_state": "serving", "epoch": 3}
        self.server.script("GET /v1/vms", ScriptedResponse(200, {**asked, "vms": vms}))
        self.assertEqual(await self.run_client("vm", "list"), ExitCode.DONE)
        self.assertIn("asked vm-1 (serving), epoch 3", self.out.getvalue())
        self.assertRegex(self.out.getvalue(), r"vm-1 +- +yes +no")
        leaf = {"leaf_id": "stock-1a", "home": "vm-1", "brief": None}
        self.server.script("GET /v1/leaves/stock-1a", ScriptedResponse(200, leaf))
        self.assertEqual(await self.run_client("leaf", "explain", "stock-1a"), 0)
        self.assertRegex(self.out.getvalue(), r"home +vm-1\nbrief +-")

    def test_parse_time(self) -> None:
        """Guard against times interpreted in the local time zone."""
        self.assertEqual(parse_time("12.5"), 12.5)
        self.assertEqual(parse_time("1970-01-01T00:01:00"), 60)
        self.assertEqual(parse_time("1970-01-01T00:01:00+00:01"), 0)
