"""The upstream processes of a cluster, one for each failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_devtools.leaf_settings import Topology
from gypsumvane_devtools.stand_in_process import StandInProcess

if TYPE_CHECKING:
    from pathlib import Path

    from gypsumvane_devtools.control_client import ControlClient
    from gypsumvane_devtools.leaf_settings import LeafSettings


class UpstreamFleet:
    """Start leaves, change them and collect their counters."""

    def __init__(
        self, leaves: list[LeafSettings], directory: Path, client: ControlClient
    ) -> None:
        self.leaves = leaves
        self.processes: dict[str, StandInProcess] = {}
        self._directory = directory
        self._client = client

    async def start(self) -> dict[str, str]:
        """Start all processes and return the address of each leaf."""
        addresses: dict[str, str] = {}
        for domain in sorted({leaf.failure_domain for leaf in self.leaves}):
            addresses |= await self._start_domain(domain)
        return addresses

    async def _start_domain(self, domain: str) -> dict[str, str]:
        leaves = [leaf for leaf in self.leaves if leaf.failure_domain == domain]
        path = self._directory / f"topology-{domain}.json"
        ledger_path = str(self._directory / "ledger.jsonl")
        topology = Topology(ledger_path=ledger_path, leaves=leaves)
        path.write_text(topology.model_dump_json(), encoding="utf-8")
        process = StandInProcess(f"upstream-{domain}", self._directory, self._client)
        self.processes[domain] = process
        await process.start("upstream", "--topology", str(path))
        found: dict[str, str] = process.announcement["leaves"]
        return found

    async def update_settings(self, values: dict[str, Any], **select: str) -> int:
        """Change settings of the selected leaves and return their number."""
        return await self._change("/control/settings", select, set=values)

    async def perform_action(
        self, action: str, value: Any = None, **select: str
    ) -> int:
        """Perform an action on the selected leaves and return their number."""
        return await self._change("/control/action", select, action=action, value=value)

    async def counters(self, **select: str) -> dict[str, dict[str, Any]]:
        """Return the counters of the selected leaves."""
        query = "&".join(f"{key}={value}" for key, value in select.items())
        return await self._collect(f"/control/counters?{query}")

    async def states(self) -> dict[str, dict[str, Any]]:
        """Return the actual state of each leaf."""
        return await self._collect("/control/leaves")

    async def runs_by_key(self) -> dict[str, int]:
        """Return the number of runs of each idempotency key."""
        totals: dict[str, int] = {}
        for process in self._running():
            found = await process.get("/control/ledger")
            for key, runs in found["runs_by_key"].items():
                totals[key] = totals.get(key, 0) + runs
        return totals

    async def count_begun(self, **select: str) -> int:
        """Return the number of requests that the selected leaves began."""
        counters = await self.counters(**select)
        return sum(values["begun"] for values in counters.values())

    def _running(self) -> list[StandInProcess]:
        return [entry for entry in self.processes.values() if entry.process.running]

    async def _collect(self, path: str) -> dict[str, dict[str, Any]]:
        merged: dict[str, dict[str, Any]] = {}
        for process in self._running():
            merged |= await process.get(path)
        return merged

    async def _change(self, path: str, select: dict[str, str], **values: Any) -> int:
        changed = 0
        for process in self._running():
            reply = await process.post(path, select=select, **values)
            changed += reply["changed"]
        return changed
