"""The view: the members of the cluster in one epoch."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from gypsumvane_core.bounded_json import decode_json
from gypsumvane_core.messages import Member
from gypsumvane_core.messages import ViewUpdate

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

VIEW_KEY = "config/view"


@dataclass(frozen=True, slots=True)
class View:
    """Membership of one epoch.

    ``former`` holds removed incarnations that may still have calls at a leaf:
    they are not known to have ended and have not acknowledged their removal.
    """

    epoch: int
    members: tuple[Member, ...] = ()
    former: tuple[Member, ...] = ()
    out_domains: frozenset[str] = frozenset()
    writer: str = ""

    def member(self, vm_id: str) -> Member | None:
        """Return the member on a VM, None without one."""
        return next((m for m in self.members if m.vm_id == vm_id), None)

    def has(self, incarnation: str) -> bool:
        """Return whether the incarnation is a member."""
        return any(m.incarnation == incarnation for m in self.members)

    def others(self, incarnation: str) -> list[Member]:
        """Return all other incarnations that may have authority over leaves."""
        everyone = (*self.members, *self.former)
        return [m for m in everyone if m.incarnation != incarnation]

    def home_candidates(self) -> list[str]:
        """Return the VMs that may become homes, as a function of the view alone.

        If all members are leaving they stay homes, so that a planned stop of the
        whole fleet interrupts no request.
        """
        staying = [m for m in self.members if not m.leaving]
        inside = [m for m in staying if m.failure_domain not in self.out_domains]
        return [m.vm_id for m in inside or staying or self.members]


def view_to_message(view: View) -> ViewUpdate:
    """Return the message that carries a view."""
    return ViewUpdate(
        epoch=view.epoch,
        members=list(view.members),
        writer=view.writer,
        former=list(view.former),
        out_domains=sorted(view.out_domains),
    )


def view_from_message(message: ViewUpdate) -> View:
    """Return the view that a message carries."""
    return View(
        epoch=message.epoch,
        members=tuple(message.members),
        former=tuple(message.former),
        out_domains=frozenset(message.out_domains),
        writer=message.writer,
    )


def encode_view(view: View) -> bytes:
    """Return the stored form of a view."""
    return json.dumps(asdict(view_to_message(view)), sort_keys=True).encode()


def decode_view(value: bytes) -> View:
    """Parse the stored form of a view.

    Raises ValueError when the value is not a view.
    """
    try:
        fields = decode_json(value)
        message = ViewUpdate(**fields)
        message.members = [Member(**entry) for entry in fields["members"]]
        message.former = [Member(**entry) for entry in fields["former"]]
    except (TypeError, KeyError) as error:
        raise ValueError(f"stored view is invalid: {error}") from error
    return view_from_message(message)


@dataclass(slots=True)
class ViewChange:
    """Collect the changes for the next view."""

    joins: dict[str, Member] = field(default_factory=dict)
    # Incarnations to remove from the members.
    removals: set[str] = field(default_factory=set)
    # Incarnations that announced that they are leaving.
    leaving: set[str] = field(default_factory=set)
    out_domains: frozenset[str] | None = None
    # Current entry of the writer, whose addresses may have changed.
    own: Member | None = None

    def apply(
        self,
        view: View,
        *,
        gone: frozenset[str],
        ended: Collection[str],
        acknowledged: Mapping[str, int],
        writer: str,
    ) -> View:
        """Return the next view, or the given one if nothing changes."""
        epoch = view.epoch + 1
        kept = [m for m in view.members if self._is_kept(m, gone)]
        kept = [self._with_leaving(m) for m in kept]
        known = {m.incarnation for m in kept}
        joins = [m for m in self.joins.values() if m.incarnation not in known | gone]
        added = [replace(m, joined_epoch=epoch, leaving=False) for m in joins]
        members = (*kept, *added)
        out_domains = view.out_domains if self.out_domains is None else self.out_domains
        if members == view.members and out_domains == view.out_domains:
            return view
        present = {m.incarnation for m in members}
        former = [
            m
            for m in (*view.members, *view.former)
            if m.incarnation not in present
            and m.incarnation not in ended
            and not _has_released(m, view, acknowledged)
        ]
        return View(
            epoch=epoch,
            members=members,
            former=tuple(former),
            out_domains=out_domains,
            writer=writer,
        )

    def _is_kept(self, member: Member, gone: frozenset[str]) -> bool:
        if member.incarnation in gone or member.incarnation in self.removals:
            return False
        joining = self.joins.get(member.vm_id)
        return joining is None or joining.incarnation == member.incarnation

    def _with_leaving(self, member: Member) -> Member:
        leaving = member.leaving or member.incarnation in self.leaving
        own = self.own
        if own is not None and own.incarnation == member.incarnation:
            joined_epoch = member.joined_epoch
            return replace(own, leaving=leaving, joined_epoch=joined_epoch)
        return replace(member, leaving=leaving)


def _has_released(member: Member, view: View, acknowledged: Mapping[str, int]) -> bool:
    """Return whether a member released all leaves and cannot become home again."""
    may_be_home = view.has(member.incarnation)
    may_be_home = may_be_home and member.vm_id in view.home_candidates()
    return not may_be_home and acknowledged.get(member.incarnation, 0) >= view.epoch


def bootstrap_view(
    member: Member,
    *,
    previous: View | None,
    ended: Collection[str],
) -> View:
    """Return the view that a daemon writes when no member is alive."""
    epoch = previous.epoch + 1 if previous is not None else 1
    old = (*previous.members, *previous.former) if previous is not None else ()
    return View(
        epoch=epoch,
        members=(replace(member, joined_epoch=epoch, leaving=False),),
        former=tuple(m for m in old if m.incarnation not in ended),
        out_domains=previous.out_domains if previous is not None else frozenset(),
        writer=member.vm_id,
    )
