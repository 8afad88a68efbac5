"""Operator API routes of VMs, leaves, store calls and metrics."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from aiohttp.web import Response
from aiohttp.web import json_response

from gypsumvane_daemon.metrics import CONTENT_TYPE
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.operator_errors import OperatorError
from gypsumvane_daemon.operator_errors import service_not_running
from gypsumvane_daemon.optional_services import find_optional
from gypsumvane_daemon.store_client import StoreClient

if TYPE_CHECKING:
    from aiohttp.web import Request
    from aiohttp.web import UrlDispatcher

    from gypsumvane_core.document_models import IndexDocument
    from gypsumvane_core.messages import Member
    from gypsumvane_daemon.document_service import DocumentService
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.optional_services import LifecyclePort
    from gypsumvane_daemon.optional_services import MembershipPort
    from gypsumvane_daemon.optional_services import UpstreamsPort


class StatusRoutes:
    """Show the state of the fleet as known by this daemon."""

    def __init__(self, identity: DaemonIdentity, kernel: Kernel) -> None:
        self._identity = identity
        self._kernel = kernel

    def add_to(self, router: UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/v1/vms", self._vms)
        router.add_get("/v1/leaves/{leaf_id}", self._show_leaf)
        router.add_get("/v1/store-calls", self._store_calls)
        router.add_get("/metrics", self._metrics)

    async def _vms(self, request: Request) -> Response:
        membership = cast("MembershipPort", self._service("membership"))
        view = membership.view
        live = {member.vm_id for member in membership.live_members()}
        members = [] if view is None else view.members
        vms = [
            {
                **asdict(member),
                "live": member.vm_id in live,
                "leaving": membership.is_leaving(member.vm_id),
            }
            for member in sorted(members, key=_vm_id)
        ]
        return json_response(
            {
                "asked_vm": self._identity.vm_id,
                "asked_vm_state": self._lifecycle_state(),
                "epoch": None if view is None else view.epoch,
                "vms": vms,
            }
        )

    async def _show_leaf(self, request: Request) -> Response:
        leaf_id = request.match_info["leaf_id"]
        documents = cast("DocumentService", self._service("documents"))
        index = _index_of(documents, leaf_id)
        leaf = next(item for item in index.leaves if item.leaf_id == leaf_id)
        membership = cast("MembershipPort", self._service("membership"))
        upstreams = cast("UpstreamsPort", self._service("upstreams"))
        brief = upstreams.briefs.get(leaf_id)
        payload: dict[str, Any] = {
            "leaf_id": leaf_id,
            "index": index.name,
            "service": leaf.service,
            "failure_domain": leaf.failure_domain,
            "address": leaf.address,
            "version": leaf.version,
            "domain_out": leaf.failure_domain in documents.catalogue.domains_out(),
            "leaving": leaf.leaving,
            "slots": leaf.slots,
            "connections_max": leaf.connections_max,
            "home": membership.home_of(leaf_id),
            "asked_vm": self._identity.vm_id,
            "grade_at_asked_vm": _enum_text(membership.grade(leaf_id)),
            "slots_at_asked_vm": membership.allowance(leaf_id, leaf.slots),
            "state": None if brief is None else brief.state,
            "limit": None if brief is None else brief.limit,
            "queued": None if brief is None else brief.queued,
            "brief": None if brief is None else asdict(brief),
        }
        return json_response(payload)

    async def _store_calls(self, request: Request) -> Response:
        store = cast("StoreClient", self._service(StoreClient.name))
        calls = [asdict(item) for item in store.calls()]
        return json_response({"watching": store.watching, "calls": calls})

    async def _metrics(self, request: Request) -> Response:
        metrics = self._kernel.get(MetricsService)
        return Response(body=metrics.render(), headers={"Content-Type": CONTENT_TYPE})

    def _lifecycle_state(self) -> str | None:
        lifecycle = find_optional(self._kernel, "lifecycle")
        if lifecycle is None:
            return None
        return _enum_text(cast("LifecyclePort", lifecycle).state)

    def _service(self, name: str) -> object:
        service = find_optional(self._kernel, name)
        if service is None:
            raise service_not_running(name)
        return service


def _index_of(documents: DocumentService, leaf_id: str) -> IndexDocument:
    for index in documents.catalogue.indexes():
        if any(leaf.leaf_id == leaf_id for leaf in index.leaves):
            return index
    raise OperatorError(404, "not_found", f"no index has a leaf {leaf_id}")


def _vm_id(member: Member) -> str:
    return member.vm_id


def _enum_text(value: Any) -> str:
    """Return the name of an enumeration member or the value as lower-case text."""
    return str(getattr(value, "name", value)).lower()
