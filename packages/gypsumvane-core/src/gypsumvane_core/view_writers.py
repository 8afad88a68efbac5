"""Which members of a view may write the next one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_core.assignment import rank

if TYPE_CHECKING:
    from gypsumvane_core.messages import Member
    from gypsumvane_core.view import View

# Any member may write the view, and all must confirm it.
ALL_MEMBERS = 0


def view_writers(view: View, count: int) -> list[Member]:
    """Return the writers of a view, all members for ALL_MEMBERS.

    They depend on the view alone: a home is confirmed by those that it takes
    as writers, and a daemon with other facts would write past them. A failure
    domain gives a second writer only when every other one has given one.
    """
    if count == ALL_MEMBERS or count >= len(view.members):
        return list(view.members)
    by_vm = {m.vm_id: m for m in view.members}
    ranked = [by_vm[vm_id] for vm_id in rank("view-writers", list(by_vm))]
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int, Member]] = []
    for place, member in enumerate(ranked):
        number = taken.get(member.failure_domain, 0)
        taken[member.failure_domain] = number + 1
        rounds.append((number, place, member))
    return [member for _, _, member in sorted(rounds, key=lambda r: r[:2])[:count]]
