"""Cluster plans of the users' systems at their current sizes and of the demo."""

from __future__ import annotations

from gypsumvane_core.document_models import FleetDocument
from gypsumvane_core.document_models import IndexKind
from gypsumvane_core.document_models import Policy
from gypsumvane_core.document_models import PolicyException
from gypsumvane_devtools.cluster_plan import ClusterPlan
from gypsumvane_devtools.cluster_plan import IndexPlan
from gypsumvane_devtools.leaf_settings import ListingKind

TRUST_DOMAINS = ["batinah-a", "batinah-b", "batinah-c", "batinah-d"]
SUSTANAR_DOMAINS = ["zagreb-a", "zagreb-b", "zagreb-c"]


def lookup_index(
    name: str,
    *,
    services: int,
    replicas: int,
    slots: int,
    connections_max: int,
    non_idempotent: bool = False,
) -> IndexPlan:
    """Return an index of which each request goes to one service."""
    return IndexPlan(
        name=name,
        kind=IndexKind.LOOKUP,
        services=services,
        replicas=replicas,
        slots=slots,
        connections_max=connections_max,
        connect_ms=1.0,
        non_idempotent=non_idempotent,
    )


def trust_plan() -> ClusterPlan:
    """Return the Trust's system."""
    return ClusterPlan(
        domains=TRUST_DOMAINS,
        daemons=8,
        fleet=FleetDocument(
            defaults=Policy(deadline_ms=800),
            exceptions=[
                PolicyException(
                    scope="index:bookings",
                    values={"deadline_ms": 3000},
                    reason="a booking may wait for its claim to be written",
                )
            ],
        ),
        indexes=[
            IndexPlan(name="stock", services=20),
            IndexPlan(name="rosters", services=30),
            lookup_index(
                "bookings",
                services=3,
                replicas=2,
                slots=3,
                connections_max=100,
                non_idempotent=True,
            ),
            lookup_index(
                "donors", services=2, replicas=2, slots=3, connections_max=100
            ),
        ],
    )


def sustanar_plan() -> ClusterPlan:
    """Return Sustanar's system."""
    return ClusterPlan(
        domains=SUSTANAR_DOMAINS,
        daemons=7,
        fleet=FleetDocument(
            defaults=Policy(deadline_ms=800),
            exceptions=[
                PolicyException(
                    scope="index:landlords",
                    values={"deadline_ms": 3000},
                    reason="an enquiry may wait for its claim to be written",
                )
            ],
        ),
        indexes=[
            IndexPlan(name="matching", services=20, listing=ListingKind.ROOMS),
            IndexPlan(name="viewings", services=30, listing=ListingKind.ROOMS),
            lookup_index(
                "landlords",
                services=3,
                replicas=2,
                slots=2,
                connections_max=35,
                non_idempotent=True,
            ),
            lookup_index("portal", services=1, replicas=3, slots=2, connections_max=35),
        ],
    )


def demo_plan() -> ClusterPlan:
    """Return a reduced version of the Trust's system that starts in seconds."""
    trust = trust_plan()
    stock, _, bookings, _ = trust.indexes
    small = stock.model_copy(update={"services": 8})
    return trust.model_copy(update={"daemons": 4, "indexes": [small, bookings]})
