"""Control interface of a process that serves simulated leaves."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from pydantic import ValidationError

from gypsumvane_devtools import stand_in
from gypsumvane_devtools.leaf_counters import LeafCounters

if TYPE_CHECKING:
    from gypsumvane_devtools.leaf_server import LeafServer
    from gypsumvane_devtools.run_ledger import RunLedger

SELECTORS = ("leaf_id", "index", "service", "failure_domain", "version")


class UpstreamControl:
    """Change and inspect the leaves of one process."""

    def __init__(self, servers: list[LeafServer], ledger: RunLedger) -> None:
        self._servers = servers
        self._ledger = ledger

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/control/leaves", self._leaves)
        app.router.add_get("/control/counters", self._counters)
        app.router.add_get("/control/ledger", self._ledger_counts)
        app.router.add_post("/control/settings", self._settings)
        app.router.add_post("/control/action", self._action)
        return app

    def _select(self, selection: dict[str, str]) -> list[LeafServer]:
        unknown = sorted(set(selection) - set(SELECTORS))
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown selectors: {unknown}")
        return [
            server
            for server in self._servers
            if all(
                getattr(server.leaf.settings, key) == value
                for key, value in selection.items()
            )
        ]

    async def _leaves(self, request: web.Request) -> web.Response:
        return web.json_response(
            {server.leaf.settings.leaf_id: describe(server) for server in self._servers}
        )

    async def _counters(self, request: web.Request) -> web.Response:
        selected = self._select(dict(request.query))
        return web.json_response(
            {
                server.leaf.settings.leaf_id: asdict(server.leaf.counters)
                for server in selected
            }
        )

    async def _ledger_counts(self, request: web.Request) -> web.Response:
        counts = self._ledger.counts(request.query.get("leaf_id", ""))
        return web.json_response({"runs_by_key": counts})

    async def _settings(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        selected = self._select(values.get("select", {}))
        try:
            for server in selected:
                leaf = server.leaf
                leaf.settings = leaf.settings.patched(values["set"])
        except ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({"changed": len(selected)})

    async def _action(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        selected = self._select(values.get("select", {}))
        for server in selected:
            await perform_action(server, str(values["action"]), values.get("value"))
        return web.json_response({"changed": len(selected)})


def describe(server: LeafServer) -> dict[str, Any]:
    """Return the address and actual state of a leaf."""
    leaf = server.leaf
    return {
        "address": server.address,
        "boot_id": leaf.boot_id,
        "cold": leaf.cold,
        "down": leaf.down,
        "draining": leaf.draining,
        "settings": leaf.settings.model_dump(mode="json"),
    }


async def perform_action(server: LeafServer, action: str, value: Any) -> None:
    """Perform one action on a leaf."""
    leaf = server.leaf
    match action:
        case "drain":
            leaf.start_draining()
        case "undrain":
            leaf.stop_draining()
        case "mark_out":
            leaf.mark_out()
        case "mark_in":
            leaf.mark_in()
        case "restart":
            leaf.restart(outage_s=float(value or 0))
        case "turn_cold":
            leaf.turn_cold(new_boot_id=bool(value))
        case "kill":
            leaf.restart()
            await server.stop()
        case "start":
            leaf.restart()
            await server.start()
        case "add_snapshot":
            change_snapshots(server, {*leaf.settings.snapshots, int(value)})
        case "remove_snapshot":
            change_snapshots(server, {*leaf.settings.snapshots} - {int(value)})
        case "reset_counters":
            leaf.counters = LeafCounters()
        case _:
            raise web.HTTPBadRequest(text=f"unknown action: {action}")


def change_snapshots(server: LeafServer, snapshots: set[int]) -> None:
    """Replace the snapshots that a leaf serves."""
    leaf = server.leaf
    leaf.settings = leaf.settings.patched({"snapshots": sorted(snapshots)})
