"""A cluster of real processes for tests, the demo and measurements."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from gypsumvane_core.document_models import DomainsDocument
from gypsumvane_devtools.control_client import ControlClient
from gypsumvane_devtools.daemon_process import OPERATOR_TOKEN
from gypsumvane_devtools.daemon_process import DaemonProcess
from gypsumvane_devtools.direct_root_process import DirectRootProcess
from gypsumvane_devtools.document_writer import DocumentWriter
from gypsumvane_devtools.managed_process import ProcessError
from gypsumvane_devtools.polling import wait_until
from gypsumvane_devtools.proxy_link import Framing
from gypsumvane_devtools.stand_in_process import StandInProcess
from gypsumvane_devtools.upstream_fleet import UpstreamFleet

if TYPE_CHECKING:
    from types import TracebackType

    from gypsumvane_devtools.cluster_plan import ClusterPlan
    from gypsumvane_devtools.cluster_plan import DirectRootPlan
    from gypsumvane_devtools.control_client import Reply
    from gypsumvane_devtools.managed_process import ManagedProcess

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class Cluster:
    """Start stand-ins, proxies and daemons; kill them all on exit."""

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.daemons: list[DaemonProcess] = []
        self.client: ControlClient
        self.store: StandInProcess
        self.live_list: StandInProcess
        self.proxy: StandInProcess
        self.upstreams: UpstreamFleet
        self.directory: Path
        self._exit_stack = AsyncExitStack()

    async def __aenter__(self) -> Cluster:
        """Start everything and wait until the daemons are ready."""
        try:
            await self._start_platform()
            await self._start_upstreams()
            await self._prepare_daemons()
            await asyncio.gather(
                *(self.start_daemon(number) for number in range(self.plan.daemons))
            )
        except BaseException:
            await self._exit_stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        await self._exit_stack.aclose()

    # Daemons

    async def start_daemon(self, number: int) -> None:
        """Add a VM to the live list, start its daemon and wait until it is ready."""
        daemon = self.daemons[number]
        await self.live_list.post(
            "/control/add",
            vm_id=daemon.vm_id,
            failure_domain=daemon.failure_domain,
        )
        await daemon.start()
        await self.wait_ready(number)

    async def wait_ready(self, number: int) -> None:
        """Wait until a daemon reports that it is ready."""
        await wait_until(
            lambda: self._is_ready(number),
            f"{self.daemons[number].vm_id} is ready",
            timeout_s=READY_TIMEOUT_S,
            interval_s=POLL_INTERVAL_S,
        )

    async def kill_daemon(self, number: int, *, vm_lost: bool) -> None:
        """Kill a daemon; a lost VM also disappears from the live list."""
        daemon = self.daemons[number]
        await daemon.process.kill()
        if vm_lost:
            await self.live_list.post("/control/remove", vm_id=daemon.vm_id)

    async def stop_daemon(self, number: int) -> int:
        """Stop a daemon gracefully and return its exit status."""
        daemon = self.daemons[number]
        await self.live_list.post("/control/leaving", vm_id=daemon.vm_id)
        status = await daemon.process.stop()
        await self.live_list.post("/control/remove", vm_id=daemon.vm_id)
        return status

    def caller_addresses(self) -> list[str]:
        """Return the addresses at which running daemons serve callers."""
        return [d.addresses.callers for d in self.daemons if d.process.running]

    async def _is_ready(self, number: int) -> bool:
        daemon = self.daemons[number]
        if not daemon.process.running:
            raise ProcessError(
                f"daemon on {daemon.vm_id} exited:\n{daemon.process.log_tail()}"
            )
        try:
            reply = await self.client.call("GET", daemon.addresses.callers, "/v1/ready")
        except aiohttp.ClientError:
            return False
        return reply.status == 200

    # Requests

    async def request(
        self,
        kind: str,
        index: str,
        body: dict[str, Any],
        *,
        daemon: int = 0,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a caller's request: search, lookup or run."""
        address = self.daemons[daemon].addresses.callers
        path = f"/v1/indexes/{index}/{kind}"
        return await self.client.call("POST", address, path, body, headers=headers)

    async def search(self, index: str, query: str, *, daemon: int = 0) -> Reply:
        """Search an index."""
        return await self.request("search", index, {"query": query}, daemon=daemon)

    async def run(
        self, index: str, body: dict[str, Any], key: str, *, daemon: int = 0
    ) -> Reply:
        """Send a non-idempotent request with an idempotency key."""
        headers = {"Idempotency-Key": key}
        return await self.request("run", index, body, daemon=daemon, headers=headers)

    async def operator_request(
        self, method: str, path: str, body: Any = None, *, daemon: int = 0
    ) -> Reply:
        """Send a request to the operators' interface of a daemon."""
        address = self.daemons[daemon].addresses.operators
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return await self.client.call(method, address, path, body, headers=headers)

    async def warm_up(self, index: str, *, answers: int = 60) -> None:
        """Search sequentially until `answers` answers in a row are complete."""
        complete = 0

        async def has_warmed_up() -> bool:
            nonlocal complete
            daemon = complete % self.plan.daemons
            # The query mixes both vocabularies, so that every service has work to do.
            reply = await self.search(index, "speaker room cable", daemon=daemon)
            succeeded = reply.values.get("outcome") == "complete"
            complete = complete + 1 if succeeded else 0
            return complete >= answers

        await wait_until(
            has_warmed_up,
            f"{index} is warm",
            timeout_s=2 * READY_TIMEOUT_S,
            interval_s=0.02,
        )

    # Set-up

    def _end_on_exit(self, process: ManagedProcess) -> None:
        self._exit_stack.push_async_callback(process.end)

    async def _start_platform(self) -> None:
        self.directory = Path(
            self._exit_stack.enter_context(
                tempfile.TemporaryDirectory(prefix="gypsumvane-")
            )
        )
        self.client = ControlClient()
        self._exit_stack.push_async_callback(self.client.close)
        plan = self.plan
        self.store = await self._start_stand_in(
            "store",
            f"--reads_per_s={plan.store_reads_per_s}",
            f"--writes_per_s={plan.store_writes_per_s}",
        )
        self.live_list = await self._start_stand_in(
            "live_list",
            f"--appear_lag_ms={plan.appear_lag_ms}",
            f"--disappear_lag_ms={plan.disappear_lag_ms}",
        )
        if plan.proxies.any:
            self.proxy = await self._start_stand_in("proxy")

    async def _start_stand_in(self, module: str, *arguments: str) -> StandInProcess:
        stand_in = StandInProcess(module, self.directory, self.client)
        self._end_on_exit(stand_in.process)
        await stand_in.start(module, *arguments)
        return stand_in

    async def _start_upstreams(self) -> None:
        leaves = self.plan.leaf_settings()
        self.upstreams = UpstreamFleet(leaves, self.directory, self.client)
        self._exit_stack.push_async_callback(self._end_upstreams)
        addresses = await self.upstreams.start()
        if self.plan.proxies.leaves:
            for leaf_id, address in addresses.items():
                addresses[leaf_id] = await self._add_link(f"leaf-{leaf_id}", address)
        await self._write_documents(addresses)

    async def _end_upstreams(self) -> None:
        for process in self.upstreams.processes.values():
            await process.process.end()

    async def _write_documents(self, addresses: dict[str, str]) -> None:
        writer = DocumentWriter(self.client, self.store.address)
        await writer.create("fleet", self.plan.fleet)
        await writer.create("domains", DomainsDocument())
        for index in self.plan.indexes:
            document = index.document(self.upstreams.leaves, addresses)
            await writer.create(f"index/{index.name}", document)

    async def _prepare_daemons(self) -> None:
        plan = self.plan
        process = DaemonProcess if plan.direct_roots is None else DirectRootProcess
        for number in range(plan.daemons + plan.spare_daemons):
            daemon = process(f"vm-{number}", plan.domain_of(number), self.directory)
            self._end_on_exit(daemon.process)
            if plan.proxies.peers:
                link = f"peer-{daemon.vm_id}"
                address = daemon.addresses.peers
                daemon.advertise_peers(
                    await self._add_link(link, address, Framing.FRAMES)
                )
            self.daemons.append(daemon)
        seeds = [daemon.addresses.advertised_peers for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.configure(
                store_address=await self._store_address(daemon.vm_id),
                live_list_address=self.live_list.address,
                seed_addresses=seeds,
                overrides=plan.daemon_settings,
            )
        if plan.direct_roots is not None:
            self._set_direct_arguments(plan.direct_roots)

    def _set_direct_arguments(self, plan: DirectRootPlan) -> None:
        roots = [f"{d.vm_id}={d.addresses.callers}" for d in self.daemons]
        indexes = [index.name for index in self.plan.indexes]
        for daemon in self.daemons:
            assert isinstance(daemon, DirectRootProcess)
            daemon.arguments = [
                f"--roots={','.join(roots)}",
                f"--indexes={','.join(indexes)}",
                f"--retries={plan.retries}",
            ]

    async def _store_address(self, vm_id: str) -> str:
        if not self.plan.proxies.store:
            return self.store.address
        return await self._add_link(f"store-{vm_id}", self.store.address)

    async def _add_link(
        self, name: str, target: str, framing: Framing = Framing.RAW
    ) -> str:
        reply = await self.proxy.post(
            "/control/links", name=name, target=target, framing=framing
        )
        return str(reply["address"])
