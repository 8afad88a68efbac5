"""Root that calls the leaves directly, as the baseline of experiments.

It divides the limits of each leaf evenly over the VMs in the live list, retries
failed calls a fixed number of times and has no admission control.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
from absl import app as absl_app
from absl import flags
from aiohttp import web

from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.key_service import service_of_key
from gypsumvane_core.partial_body import merge_hit_pages
from gypsumvane_core.partial_body import parse_hit_page
from gypsumvane_daemon.settings import Settings
from gypsumvane_devtools import stand_in
from gypsumvane_devtools.direct_leaf import DirectLeaf
from gypsumvane_devtools.direct_query import DirectQuery
from gypsumvane_devtools.polling import wait_until

FLAGS = flags.FLAGS

POLL_INTERVAL_S = 1.0
ADDRESS_LIST_TTL_S = 1.0
DEADLINE_MS = 1000
# Time before the deadline at which the root answers with the results so far.
ANSWER_MARGIN_S = 0.015
INDEX_DOCUMENTS_PATH = "/v1/objects/config/documents/index/"


class DirectIndex:
    """Group the leaves of one index by service."""

    def __init__(self, document: IndexDocument) -> None:
        self.snapshot = max(document.partition_maps)
        self.services = document.partition_maps[self.snapshot]
        self.leaves: dict[str, list[DirectLeaf]] = {}
        for leaf in document.leaves:
            self.leaves.setdefault(leaf.service, []).append(DirectLeaf(leaf))

    def all_leaves(self) -> list[DirectLeaf]:
        """Return the leaves of all services."""
        return list(itertools.chain.from_iterable(self.leaves.values()))


class DirectRoot:
    """Serve the callers' interface by calling the leaves without homes."""

    def __init__(
        self, settings: Settings, *, roots: dict[str, str], retries: int
    ) -> None:
        self._settings = settings
        self._roots = roots
        self._retries = retries
        self._live_vms: list[str] = []
        self._indexes: dict[str, DirectIndex] = {}
        self._rng = random.Random(settings.vm.vm_id)
        self._request_numbers = itertools.count()
        self._session = aiohttp.ClientSession()

    def application(self) -> web.Application:
        """Return the callers' interface."""
        app = web.Application()
        app.router.add_post("/v1/indexes/{index}/search", self._search)
        app.router.add_post("/v1/indexes/{index}/run", self._run)
        app.router.add_get("/v1/entry-addresses", self._entry_addresses)
        app.router.add_get("/v1/ready", self._ready)
        return app

    async def start(self, names: list[str]) -> None:
        """Read the index documents and wait until the own VM is listed."""
        for name in names:
            values = await self._get(
                self._settings.platform.store_address, INDEX_DOCUMENTS_PATH + name
            )
            document = IndexDocument.model_validate(values["body"])
            self._indexes[name] = DirectIndex(document)
        await wait_until(
            self._poll_once, "the live list has the VM of this root", interval_s=0.05
        )

    async def poll(self) -> None:
        """Poll the live list and adjust the shares of the leaf limits."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._poll_once()

    async def close(self) -> None:
        """Close all connections."""
        for index in self._indexes.values():
            for leaf in index.all_leaves():
                await leaf.close()
        await self._session.close()

    async def _poll_once(self) -> bool:
        address = self._settings.platform.live_list_address
        values = await self._get(address, "/v1/vms")
        self._live_vms = [vm["vm_id"] for vm in values["vms"]]
        for index in self._indexes.values():
            for leaf in index.all_leaves():
                leaf.set_daemon_count(max(1, len(self._live_vms)))
        return self._settings.vm.vm_id in self._live_vms

    async def _get(self, address: str, path: str) -> dict[str, Any]:
        async with self._session.get(f"http://{address}{path}") as answer:
            return dict(json.loads(await answer.read()))

    async def _ready(self, request: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _entry_addresses(self, request: web.Request) -> web.Response:
        addresses = [self._roots[vm] for vm in self._live_vms if vm in self._roots]
        self._rng.shuffle(addresses)
        return web.json_response({"addresses": addresses, "keep_s": ADDRESS_LIST_TTL_S})

    def _query(self, request: web.Request, index: DirectIndex) -> DirectQuery:
        deadline_ms = int(request.headers.get("Deadline-Ms", DEADLINE_MS))
        now_s = asyncio.get_running_loop().time()
        return DirectQuery(
            snapshot=index.snapshot,
            deadline_s=now_s + deadline_ms / 1000 - ANSWER_MARGIN_S,
            retries=self._retries,
            rng=self._rng,
            next_id=self._next_id,
        )

    def _next_id(self) -> str:
        return f"{self._settings.vm.vm_id}-{next(self._request_numbers)}"

    async def _search(self, request: web.Request) -> web.Response:
        index = self._indexes[request.match_info["index"]]
        query = self._query(request, index)
        body = json.loads(await request.read())
        part = {"query": body["query"], "limit": body.get("limit", 10)}
        services = index.services
        bodies = await asyncio.gather(
            *(
                query.call_with_retries(index.leaves[name], "/v1/search", part)
                for name in services
            )
        )
        left_out = [
            {"service": service, "reason": "deadline"}
            for service, answer in zip(services, bodies, strict=True)
            if answer is None
        ]
        pages = [parse_hit_page(answer) for answer in bodies if answer is not None]
        page = merge_hit_pages(pages, limit=part["limit"], offset=0)
        outcome = "partial" if left_out else "complete"
        return web.json_response(
            {
                "outcome": outcome if pages else "failed",
                "verdict": "ran" if pages else "may_have_run",
                "request_id": request.headers.get("Request-Id", ""),
                "snapshot": index.snapshot,
                "coverage": {
                    "asked": len(services),
                    "answered": len(pages),
                    "left_out": left_out,
                },
                "hits": page.hits,
                "total": page.total,
            }
        )

    async def _run(self, request: web.Request) -> web.Response:
        index = self._indexes[request.match_info["index"]]
        query = self._query(request, index)
        body = json.loads(await request.read())
        service = service_of_key(str(body["key"]), index.services)
        leaf = self._rng.choice(index.leaves[service])
        key = request.headers.get("Idempotency-Key", "")
        answer = await query.send(leaf, "/v1/run", body, key)
        done = answer is not None and answer.status == web.HTTPOk.status_code
        return web.json_response(
            {
                "outcome": "complete" if done else "failed",
                "verdict": "ran" if done else "may_have_run",
                "request_id": request.headers.get("Request-Id", ""),
            }
        )


def read_settings() -> Settings:
    """Return the settings of the daemon that this root replaces."""
    text = Path(FLAGS.settings).read_text(encoding="utf-8")
    return Settings.model_validate(tomllib.loads(text))


async def serve() -> None:
    """Serve until the stop signal."""
    settings = read_settings()
    roots = dict(entry.split("=") for entry in FLAGS.roots)
    root = DirectRoot(settings, roots=roots, retries=FLAGS.retries)
    await root.start(FLAGS.indexes)
    poller = asyncio.create_task(root.poll())
    await stand_in.serve("direct_root", root.application(), settings.callers.address)
    poller.cancel()
    await root.close()


def main(argv: list[str]) -> None:
    """Run the direct root."""
    stand_in.run(serve)


if __name__ == "__main__":
    flags.DEFINE_string("settings", None, "Settings file of a daemon.", required=True)
    flags.DEFINE_list("roots", [], "Address for callers on each VM, as vm=host:port.")
    flags.DEFINE_list("indexes", [], "Names of the indexes.")
    flags.DEFINE_integer("retries", 0, "Retries of each failed call.")
    absl_app.run(main)
