"""Stand-in of the list of live and leaving VMs."""

from __future__ import annotations

import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from absl import app as absl_app
from absl import flags
from aiohttp import web

from gypsumvane_devtools import stand_in

if TYPE_CHECKING:
    from collections.abc import Callable

FLAGS = flags.FLAGS


@dataclass(slots=True)
class ListedVm:
    """Describe one VM of the list."""

    vm_id: str
    failure_domain: str
    state: str = "live"


@dataclass(frozen=True, slots=True)
class PendingChange:
    """Describe a change that becomes visible at a time; no VM is a removal."""

    due_s: float
    vm_id: str
    vm: ListedVm | None


@dataclass(slots=True)
class VmListing:
    """List VMs with a lag between a change and its visibility."""

    clock: Callable[[], float] = time.monotonic
    appear_lag_s: float = 0.0
    disappear_lag_s: float = 0.0
    # Grows with each visible change.
    number: int = 0
    _actual: dict[str, ListedVm] = field(default_factory=dict)
    _visible: dict[str, ListedVm] = field(default_factory=dict)
    _pending: list[PendingChange] = field(default_factory=list)

    def add(self, vm_id: str, failure_domain: str) -> None:
        """Add a VM; it becomes visible after `appear_lag_s`."""
        self._record(vm_id, ListedVm(vm_id, failure_domain), self.appear_lag_s)

    def mark_leaving(self, vm_id: str) -> None:
        """Mark a VM as leaving; raises KeyError when it is unknown."""
        actual = self._actual[vm_id]
        leaving = ListedVm(vm_id, actual.failure_domain, "leaving")
        self._record(vm_id, leaving, self.appear_lag_s)

    def remove(self, vm_id: str) -> None:
        """Remove a VM; it disappears after `disappear_lag_s`."""
        self._record(vm_id, None, self.disappear_lag_s)

    def visible(self) -> list[ListedVm]:
        """Return the VMs that the list shows now."""
        self._apply_due()
        return sorted(self._visible.values(), key=lambda vm: vm.vm_id)

    def _record(self, vm_id: str, vm: ListedVm | None, lag_s: float) -> None:
        if vm is None:
            self._actual.pop(vm_id, None)
        else:
            self._actual[vm_id] = vm
        due_s = self.clock() + lag_s
        # Changes of one VM become visible in the order in which they were made.
        earlier = [c.due_s for c in self._pending if c.vm_id == vm_id]
        self._pending.append(PendingChange(max([due_s, *earlier]), vm_id, vm))

    def _apply_due(self) -> None:
        now_s = self.clock()
        due = [change for change in self._pending if change.due_s <= now_s]
        self._pending = [change for change in self._pending if change.due_s > now_s]
        for change in sorted(due, key=lambda change: change.due_s):
            self._apply(change)

    def _apply(self, change: PendingChange) -> None:
        if change.vm == self._visible.get(change.vm_id):
            return
        self.number += 1
        if change.vm is None:
            del self._visible[change.vm_id]
        else:
            self._visible[change.vm_id] = change.vm


class LiveList:
    """Serve a listing and its control interface over HTTP."""

    def __init__(self, listing: VmListing) -> None:
        self.listing = listing
        self.calls = 0
        self.outage = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._vms)
        app.router.add_post("/control/add", self._add)
        app.router.add_post("/control/remove", self._remove)
        app.router.add_post("/control/leaving", self._leaving)
        app.router.add_post("/control/lag", self._lag)
        app.router.add_post("/control/outage", self._outage)
        app.router.add_get("/control/counters", self._counters)
        return app

    async def _vms(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.outage:
            return web.json_response({"error": "unavailable"}, status=503)
        vms = [asdict(vm) for vm in self.listing.visible()]
        return web.json_response({"listing": self.listing.number, "vms": vms})

    async def _add(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        self.listing.add(values["vm_id"], values["failure_domain"])
        return web.json_response({})

    async def _remove(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        self.listing.remove(values["vm_id"])
        return web.json_response({})

    async def _leaving(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        try:
            self.listing.mark_leaving(values["vm_id"])
        except KeyError:
            return web.json_response({"error": "unknown_vm"}, status=404)
        return web.json_response({})

    async def _lag(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        self.listing.appear_lag_s = float(values["appear_ms"]) / 1000
        self.listing.disappear_lag_s = float(values["disappear_ms"]) / 1000
        return web.json_response({})

    async def _outage(self, request: web.Request) -> web.Response:
        values = await stand_in.json_body(request)
        self.outage = bool(values["on"])
        return web.json_response({})

    async def _counters(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls})


async def serve() -> None:
    """Serve the list with the lags that the flags set."""
    listing = VmListing(
        appear_lag_s=FLAGS.appear_lag_ms / 1000,
        disappear_lag_s=FLAGS.disappear_lag_ms / 1000,
    )
    await stand_in.serve("live_list", LiveList(listing).application(), FLAGS.address)


def main(argv: list[str]) -> None:
    """Run the live list."""
    stand_in.run(serve)


if __name__ == "__main__":
    flags.DEFINE_string("address", "127.0.0.1:0", "Address to listen on.")
    flags.DEFINE_float("appear_lag_ms", 0.0, "Delay before an added VM is listed.")
    flags.DEFINE_float(
        "disappear_lag_ms", 0.0, "Delay before a removed VM is no longer listed."
    )
    absl_app.run(main)
