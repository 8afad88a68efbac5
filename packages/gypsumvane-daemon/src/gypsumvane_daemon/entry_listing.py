"""Selection of the daemons that callers are directed to."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from gypsumvane_core.entry_addresses import order_entry_addresses

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumvane_core.entry_addresses import EntryAddresses
    from gypsumvane_core.membership import MembershipState
    from gypsumvane_core.messages import Member
    from gypsumvane_daemon.identity import DaemonIdentity


class EntryListing:
    """List the entry addresses of the members that serve callers."""

    def __init__(
        self,
        identity: DaemonIdentity,
        state: MembershipState,
        *,
        rng: Random,
        is_ready: Callable[[], bool],
        out_domains: Callable[[], frozenset[str]],
    ) -> None:
        self._keep_s = identity.settings.entry.keep_ms / 1000
        self._state = state
        self._rng = rng
        self._is_ready = is_ready
        self._out_domains = out_domains
        # Whether callers may still be directed to this daemon while it is leaving.
        self.listed_while_leaving = True
        # Monotonic time at which a caller was last directed to this daemon while it
        # was leaving.
        self.last_listed_s = float("-inf")

    def addresses(self, failure_domain: str) -> EntryAddresses:
        """Return the addresses for callers in a failure domain, best first."""
        state = self._state
        members = [m for m in state.live_members() if self._serves_callers(m)]
        if not members and self.can_serve() and self.listed_while_leaving:
            # The caller reached this daemon, and no member remains that is not leaving.
            members = [replace(state.own, leaving=False)]
            self.last_listed_s = state.clock.monotonic_s()
        return order_entry_addresses(
            members,
            failure_domain=failure_domain,
            out_domains=self._out_domains(),
            shuffle_key=str(self._rng.random()),
            keep_s=self._keep_s,
        )

    def can_serve(self) -> bool:
        """Return whether this daemon can send requests to homes.

        During a store outage a new daemon cannot join, but the homes still answer
        its requests.
        """
        if self._state.is_member():
            return True
        return self.can_keep_serving() and not self._state.store_confirmed()

    def can_keep_serving(self) -> bool:
        """Return whether a daemon that already serves can still reach homes.

        A daemon that was removed from the view while it was paused continues to
        answer through the homes until it has rejoined.
        """
        state = self._state
        if state.is_member():
            return True
        return any(not state.suspected(m) for m in state.live_members())

    def _serves_callers(self, member: Member) -> bool:
        state = self._state
        if state.is_leaving(member) or state.suspected(member):
            return False
        if member.incarnation == state.own.incarnation:
            return self._is_ready()
        # A member that has just joined may not be serving yet.
        return member.incarnation in state.ready
