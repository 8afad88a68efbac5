"""Membership logic of one daemon, free of I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from gypsumvane_core.authority import Authority
from gypsumvane_core.authority_grade import AuthorityGrade
from gypsumvane_core.confirmation import PeerConfirmation
from gypsumvane_core.confirmation import StoreConfirmation
from gypsumvane_core.failure_detector import FailureDetector
from gypsumvane_core.gone_incarnations import GoneIncarnations
from gypsumvane_core.gone_incarnations import LiveList
from gypsumvane_core.stale_view_guard import StaleViewGuard
from gypsumvane_core.view import ViewChange
from gypsumvane_core.view import bootstrap_view
from gypsumvane_core.write_promise import WritePromises

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumvane_core.clock import Clock
    from gypsumvane_core.messages import Heartbeat
    from gypsumvane_core.messages import Member
    from gypsumvane_core.view import View

# While more than half of the members are suspected, a member is removed only after
# it has not answered for this time. Otherwise an isolated daemon would remove all
# others.
MASS_REMOVAL_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class MembershipTimes:
    """Durations that the safety of handovers depends on, in seconds."""

    validity_s: float = 2.0
    leaf_call_max_s: float = 1.0
    margin_s: float = 0.5
    suspect_after_s: float = 1.5
    # A member found gone within this time after its last answer is not needed for
    # the peers' confirmation.
    gone_grace_s: float = 30.0

    @property
    def takeover_wait_s(self) -> float:
        """Return how long a new home waits after it learns of an epoch."""
        return self.validity_s + self.leaf_call_max_s + self.margin_s


@dataclass(slots=True)
class MembershipState:
    """State of the membership as one daemon knows it, and the decisions on it."""

    own: Member
    clock: Clock
    times: MembershipTimes = field(default_factory=MembershipTimes)
    view: View | None = None
    leaving_since_s: float | None = None
    # Set once this daemon has ended all work; it never sends to a leaf again.
    ended: bool = False
    acknowledged_epoch: int = 0
    acknowledged: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    # Other incarnations that served callers as of their last heartbeat.
    ready: set[str] = field(default_factory=set)
    joins: dict[str, Member] = field(default_factory=dict)
    gone: GoneIncarnations = field(init=False)
    live_list: LiveList = field(default_factory=LiveList)
    store_confirmation: StoreConfirmation = field(default_factory=StoreConfirmation)
    peer_confirmation: PeerConfirmation = field(default_factory=PeerConfirmation)
    promises: WritePromises = field(init=False)
    failure_detector: FailureDetector = field(init=False)
    authority: Authority = field(init=False)
    stale_view_guard: StaleViewGuard = field(init=False)
    # When this daemon learned of each incarnation; a later answer of its VM by another
    # incarnation shows that it has ended.
    _known_since_s: dict[str, float] = field(default_factory=dict)
    # Since when this daemon has wanted another view; None if it does not.
    _wanted_since_s: float | None = None
    _absent_since_s: dict[str, float] = field(default_factory=dict)
    # Leaves with a granted share of their limit, which may have calls in progress.
    _granted: set[str] = field(default_factory=set)
    # Granted leaves that must become idle before the next acknowledgement.
    _releasing: set[str] = field(default_factory=set)
    # A gone incarnation changed homes and the change has not been announced yet.
    _homes_changed: bool = False

    def __post_init__(self) -> None:
        self.gone = GoneIncarnations(call_max_s=self.times.leaf_call_max_s)
        self.promises = WritePromises(validity_s=self.times.validity_s)
        self.failure_detector = FailureDetector(
            suspect_after_s=self.times.suspect_after_s
        )
        self.authority = Authority(
            incarnation=self.own.incarnation,
            gone=self.gone,
            takeover_wait_s=self.times.takeover_wait_s,
        )
        self.stale_view_guard = StaleViewGuard(
            incarnation=self.own.incarnation,
            gone_grace_s=self.times.gone_grace_s + self.times.margin_s,
        )

    # Views and gone incarnations.

    def adopt(self, view: View) -> bool:
        """Apply a view if it is newer and return whether it was."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        now_s = self.clock.monotonic_s()
        consecutive = view.epoch == self.epoch + 1
        self.view = view
        self.authority.adopt(view, now_s)
        self._release_leaves(every=not consecutive)
        self._wanted_since_s = None
        self.stale_view_guard.adopt(view)
        for member in view.others(self.own.incarnation):
            self._known_since_s.setdefault(member.incarnation, now_s)
            if member.vm_id == self.own.vm_id:
                # A VM runs only one daemon process.
                self.add_gone([member.incarnation])
        for vm_id, member in list(self.joins.items()):
            if view.has(member.incarnation):
                del self.joins[vm_id]
        self._update_handover()
        return True

    def add_gone(self, incarnations: Iterable[str]) -> list[str]:
        """Record gone incarnations and return those that were not known."""
        others = (i for i in incarnations if i != self.own.incarnation)
        new = self.gone.add(others, self.clock.monotonic_s())
        self.refresh()
        return new

    def refresh(self) -> None:
        """Apply gone incarnations whose last calls have ended by now."""
        if self.gone.update_ended(self.clock.monotonic_s()):
            self._update_handover()
            self._homes_changed = True

    def pop_home_change(self) -> bool:
        """Return whether gone incarnations changed homes since the last call.

        `grade` applies due incarnations as well, so a change is kept until it
        is returned here.
        """
        self.refresh()
        changed = self._homes_changed
        self._homes_changed = False
        return changed

    def apply_listing(
        self, listing: int, vm_ids: Iterable[str], *, sent_at_s: float
    ) -> list[str]:
        """Apply a listing of the platform's VMs and return incarnations found gone."""
        if not self.live_list.apply(listing, vm_ids) or self.view is None:
            return []
        found = [
            m.incarnation
            for m in self.view.others(self.own.incarnation)
            if self.live_list.disappeared(m.vm_id) or self._is_long_absent(m)
            if self._known_since_s[m.incarnation] < sent_at_s
            # The platform gave the name of a lost VM to another one.
            and not self.failure_detector.answered_after(m.incarnation, sent_at_s)
        ]
        return self.add_gone(found)

    def _is_long_absent(self, member: Member) -> bool:
        """Return whether a daemon outside the view may consider a VM gone.

        A new daemon has never seen the VMs of an old view listed. Since the
        list shows VMs with a delay, it must contain this VM and lack the other
        one for a while. A process that sent a heartbeat ran after this one
        started, so its VM may not be listed yet.
        """
        now_s = self.clock.monotonic_s()
        listed = self.live_list.listed
        absent = self.own.vm_id in listed and member.vm_id not in listed
        heard = member.incarnation in self.acknowledged
        if self.is_member() or heard or not absent:
            self._absent_since_s.pop(member.incarnation, None)
            return False
        since_s = self._absent_since_s.setdefault(member.incarnation, now_s)
        silent = not self.failure_detector.answered_after(member.incarnation, since_s)
        return silent and now_s - since_s > self.times.takeover_wait_s

    # Heartbeats.

    def heartbeat(self, *, reply: bool) -> dict[str, Any]:
        """Return the heartbeat fields that the membership provides."""
        now_s = self.clock.monotonic_s()
        age_s = self.store_confirmation.age_s(now_s)
        leaving_s = self.leaving_since_s
        return {
            "epoch": self.epoch,
            "acknowledged_epoch": self.acknowledged_epoch,
            "confirmation_age_ms": -1 if age_s is None else math.ceil(age_s * 1000),
            "promise": reply and self.view is not None and self.promises.grant(now_s),
            "leaving_for_ms": -1
            if leaving_s is None
            else int((now_s - leaving_s) * 1000),
            "gone": sorted(self._relevant_gone()),
            "incarnation": self.own.incarnation,
            "settled": self.stale_view_guard.settled,
        }

    def receive(self, heartbeat: Heartbeat) -> None:
        """Apply the facts of a heartbeat or a reply."""
        sender = heartbeat.incarnation
        known = self.acknowledged.get(sender, 0)
        self.acknowledged[sender] = max(known, heartbeat.acknowledged_epoch)
        if heartbeat.leaving_for_ms >= 0:
            self.leaving.add(sender)
        if heartbeat.ready:
            self.ready.add(sender)
        else:
            self.ready.discard(sender)
        self.add_gone(heartbeat.gone)
        self._update_handover()

    def receive_reply(self, vm_id: str, reply: Heartbeat, *, sent_at_s: float) -> None:
        """Apply the reply to a heartbeat sent at ``sent_at_s``."""
        now_s = self.clock.monotonic_s()
        self._compare_incarnations(vm_id, reply.incarnation, sent_at_s)
        self.receive(reply)
        self.failure_detector.record_answer(reply.incarnation, now_s)
        if self.view is None or reply.epoch > self.view.epoch:
            return
        if reply.confirmation_age_ms >= 0:
            self.store_confirmation.record(sent_at_s - reply.confirmation_age_ms / 1000)
        self.peer_confirmation.record(
            reply.incarnation,
            epoch=reply.epoch,
            promise=reply.promise,
            sent_at_s=sent_at_s,
        )
        self.stale_view_guard.record_answer(
            self.view,
            reply.incarnation,
            epoch=reply.epoch,
            settled=reply.settled,
            sent_at_s=sent_at_s,
            now_s=now_s,
        )

    def _compare_incarnations(
        self, vm_id: str, incarnation: str, sent_at_s: float
    ) -> None:
        """Record incarnations as gone that their VM no longer runs.

        Such an incarnation must have been known before the answered request
        was sent: the answer may come from an older process that has ended since.
        """
        if self.view is None or not incarnation:
            return
        ended = [
            m.incarnation
            for m in self.view.others(self.own.incarnation)
            if m.vm_id == vm_id
            and m.incarnation != incarnation
            and self._known_since_s[m.incarnation] < sent_at_s
        ]
        self.add_gone(ended)

    # Confirmation and authority.

    @property
    def epoch(self) -> int:
        """Return the epoch of the known view, 0 without one."""
        return 0 if self.view is None else self.view.epoch

    def store_confirmed(self) -> bool:
        """Return whether the store confirmed the view within the validity period."""
        age_s = self.store_confirmation.age_s(self.clock.monotonic_s())
        return age_s is not None and age_s < self.times.validity_s

    def peers_confirmed(self) -> bool:
        """Return whether all live members confirmed the view."""
        if self.view is None:
            return False
        return self.peer_confirmation.is_valid(
            self.view,
            own=self.own.incarnation,
            gone=self.gone.known_at_s,
            now_s=self.clock.monotonic_s(),
            validity_s=self.times.validity_s,
            gone_grace_s=self.times.gone_grace_s,
        )

    def confirmed(self) -> bool:
        """Return whether no newer view can be in force."""
        return self.store_confirmed() or self.peers_confirmed()

    def home_of(self, leaf_id: str) -> str | None:
        """Return the VM that is home of a leaf, None without one."""
        home = self.authority.home_of(leaf_id)
        return None if home is None else home.vm_id

    def home_of_key(self, key: str) -> str | None:
        """Return the VM that is home of a key, None without one."""
        # The suffix separates keys from leaves and keeps them from having a replica
        # suffix.
        return self.home_of(f"{key}\0")

    def grade(self, leaf_id: str) -> AuthorityGrade:
        """Return the current grade of this daemon's authority over a leaf."""
        if self.ended:
            return AuthorityGrade.NONE
        self.refresh()
        if leaf_id in self._releasing:
            return AuthorityGrade.NONE
        grade = self.authority.grade(
            leaf_id,
            now_s=self.clock.monotonic_s(),
            confirmed=self.confirmed(),
            settled=self.stale_view_guard.settled,
        )
        if grade is not AuthorityGrade.NONE:
            self._granted.add(leaf_id)
        return grade

    def _release_leaves(self, *, every: bool) -> None:
        """Release the granted leaves that have or may have had another home.

        A leaf that returns with a later view must become idle as well: its home
        in the view in between takes an acknowledgement of the later view as one
        of its own. If views were skipped, any leaf may have had another home.
        """
        own = self.own.incarnation
        for leaf in self._granted:
            home = self.authority.home_of(leaf)
            if every or home is None or home.incarnation != own:
                self._releasing.add(leaf)

    def leaves_to_release(self) -> list[str]:
        """Return the leaves that must become idle before the acknowledgement."""
        return sorted(self._releasing)

    def acknowledge(self, released: Iterable[str]) -> bool:
        """Release idle leaves and return whether this acknowledged a new epoch."""
        idle = set(released)
        self._granted -= idle
        self._releasing -= idle
        if self.view is None or self._releasing:
            return False
        advanced = self.acknowledged_epoch < self.view.epoch
        self.acknowledged_epoch = self.view.epoch
        return advanced

    def _update_handover(self) -> None:
        if self.authority.update(self.acknowledged) and self.is_member():
            self.stale_view_guard.record_handover()

    # Members.

    def is_member(self) -> bool:
        """Return whether this incarnation is in the view."""
        return self.view is not None and self.view.has(self.own.incarnation)

    def live_members(self) -> list[Member]:
        """Return the members that are not gone."""
        if self.view is None:
            return []
        return [m for m in self.view.members if m.incarnation not in self.gone]

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member has announced that it is leaving."""
        if member.incarnation == self.own.incarnation:
            return member.leaving or self.leaving_since_s is not None
        return member.leaving or member.incarnation in self.leaving

    def suspected(self, member: Member) -> bool:
        """Return whether a member is suspected to have failed."""
        now_s = self.clock.monotonic_s()
        if member.incarnation == self.own.incarnation:
            return False
        return self.failure_detector.suspected(member.incarnation, now_s)

    # Changes of the view.

    def next_view(self, out_domains: frozenset[str]) -> View | None:
        """Return the view that this daemon should write, None if it should not.

        Any member writes changes for joining daemons and for itself. Other
        changes are up to the first member that answers; each later one takes
        over after a further wait, as those before it may not reach the store.
        """
        if self.view is None or not self.is_member():
            return None
        change = self._wanted_change(out_domains)
        following = change.apply(
            self.view,
            gone=self.gone.incarnations(),
            ended=self.gone.ended,
            acknowledged=self._all_acknowledged(),
            writer=self.own.vm_id,
        )
        if following is self.view:
            self._wanted_since_s = None
            return None
        if self._is_own_change(change) or self._is_due():
            return following
        return None

    def _wanted_change(self, out_domains: frozenset[str]) -> ViewChange:
        change = ViewChange(
            joins=dict(self.joins),
            removals=self._removals(),
            leaving=set(self.leaving),
            out_domains=out_domains,
            own=self.own,
        )
        if self.leaving_since_s is not None:
            change.leaving.add(self.own.incarnation)
        return change

    def _is_due(self) -> bool:
        """Return whether the members before this one had enough time to write."""
        now_s = self.clock.monotonic_s()
        if self._wanted_since_s is None:
            self._wanted_since_s = now_s
        answering = [m for m in self.live_members() if not self.suspected(m)]
        position = [m.incarnation for m in answering].index(self.own.incarnation)
        wait_s = position * self.times.takeover_wait_s
        return now_s - self._wanted_since_s >= wait_s

    def recovery_view(self, stored: View | None) -> View | None:
        """Return the view to write if no member is alive, else None."""
        if stored is None:
            return bootstrap_view(self.own, previous=None, ended=())
        if any(m.incarnation not in self.gone for m in stored.members):
            return None
        return bootstrap_view(self.own, previous=stored, ended=self.gone.ended)

    def _is_own_change(self, change: ViewChange) -> bool:
        listed = self.view.member(self.own.vm_id) if self.view is not None else None
        if listed is None:
            return False
        moved = _addresses(listed) != _addresses(self.own)
        leaves = self.leaving_since_s is not None and not listed.leaving
        return bool(change.joins) or leaves or moved

    def _removals(self) -> set[str]:
        members = self.live_members()
        now_s = self.clock.monotonic_s()
        suspected = [m.incarnation for m in members if self.suspected(m)]
        if 2 * len(suspected) > len(members):
            suspected = [
                incarnation
                for incarnation in suspected
                if self.failure_detector.unresponsive_s(incarnation, now_s)
                > MASS_REMOVAL_AFTER_S
            ]
        return set(suspected)

    def _all_acknowledged(self) -> dict[str, int]:
        return self.acknowledged | {self.own.incarnation: self.acknowledged_epoch}

    def _relevant_gone(self) -> set[str]:
        """Return the gone incarnations that another daemon may need to know."""
        if self.view is None:
            return set()
        everyone = self.view.others(self.own.incarnation)
        relevant = {m.incarnation for m in everyone if m.incarnation in self.gone}
        return relevant | {self.own.incarnation} if self.ended else relevant


def _addresses(member: Member) -> tuple[str, str, str]:
    return member.peer_address, member.caller_address, member.operator_address
