"""Life cycle of the daemon from joining to graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import cast

from gypsumvane_core.life_cycle import LifeCycle
from gypsumvane_core.life_cycle import LifeState
from gypsumvane_daemon.event_wait import wait_for_event
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.membership_service import MembershipService
from gypsumvane_daemon.metrics import MetricsService

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.clock import Clock
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel
    from gypsumvane_daemon.membership_ports import DocumentPort

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02
# While the daemon serves, listeners report membership changes. Only suspicion
# depends on time alone, and it takes more than a second to arise.
SERVING_POLL_INTERVAL_S = 0.2
# Peers list this daemon for callers until a heartbeat announces its leaving.
ANNOUNCE_HEARTBEAT_INTERVALS = 2


class LifecycleService(Service):
    """Track the life-cycle state and perform the graceful shutdown."""

    name = "lifecycle"

    def __init__(self, identity: DaemonIdentity, *, clock: Clock) -> None:
        self._identity = identity
        self._clock = clock
        self._life_cycle = LifeCycle(self._on_state)
        self._metrics: MetricsService
        self._membership: MembershipService
        self._documents: DocumentPort | None = None
        self._idle_checks: list[Callable[[], bool]] = []
        self._task: asyncio.Task[None] | None = None
        self._leave_task: asyncio.Task[None] | None = None
        self._membership_changed = asyncio.Event()

    async def start(self, kernel: Kernel) -> None:
        """Enter the joining state and start following the membership."""
        self._metrics = kernel.get(MetricsService)
        self._membership = kernel.get(MembershipService)
        self._membership.set_ready_check(lambda: self.state is LifeState.SERVING)
        try:
            self._documents = cast("DocumentPort | None", kernel.find("documents"))
        except LookupError:
            self._documents = None
        self._life_cycle.apply("join")
        self._membership.on_change(self._membership_changed.set)
        self._task = asyncio.create_task(self._follow_membership())

    async def stop(self) -> None:
        """Stop immediately without waiting for work in progress."""
        tasks = [task for task in (self._task, self._leave_task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.state is not LifeState.STOPPED:
            self._life_cycle.apply("end")

    @property
    def state(self) -> LifeState:
        """Return the life-cycle state."""
        return self._life_cycle.state

    @property
    def serving(self) -> bool:
        """Return whether requests of callers are accepted."""
        return self.state in (LifeState.SERVING, LifeState.LEAVING)

    def add_idle_check(self, check: Callable[[], bool]) -> None:
        """Register a check that must report no work in progress before shutdown."""
        self._idle_checks.append(check)

    async def leave(self) -> None:
        """Leave gracefully; return when the daemon may be stopped."""
        if self._leave_task is None:
            self._leave_task = asyncio.create_task(self._leave())
        await asyncio.shield(self._leave_task)

    async def _leave(self) -> None:
        was_serving = self.serving
        self._life_cycle.apply("leave")
        self._membership.begin_leaving()
        if was_serving:
            await self._serve_until_unlisted()
        await self._wait_until(self._may_stop_serving)
        self._life_cycle.apply("finish")
        await self._wait_until(lambda: all(check() for check in self._idle_checks))
        await self._membership.announce_end()

    async def _serve_until_unlisted(self) -> None:
        """Serve until no caller caches an address list with this daemon.

        The last serving daemon keeps listing itself. The caching period then
        starts again when another daemon can take over.
        """
        settings = self._identity.settings
        keep_s = settings.entry.keep_ms / 1000
        announce_ms = (
            ANNOUNCE_HEARTBEAT_INTERVALS * settings.membership.heartbeat_interval_ms
        )
        unlisted_s = self._clock.monotonic_s() + announce_ms / 1000
        entries = self._membership.entries

        def no_cached_list_names_daemon() -> bool:
            entries.listed_while_leaving = not self._may_stop_serving()
            listed_s = max(unlisted_s, entries.last_listed_s)
            return self._clock.monotonic_s() >= listed_s + keep_s

        await self._wait_until(
            lambda: no_cached_list_names_daemon() and self._may_stop_serving()
        )

    def _may_stop_serving(self) -> bool:
        """Return whether another daemon is or becomes the home of the own leaves.

        During a store outage no view can record that this daemon leaves. Its
        successors then take over when it announces its end.
        """
        membership = self._membership
        if membership.handed_over():
            return True
        return not membership.state.store_confirmed() and membership.has_successor()

    async def _follow_membership(self) -> None:
        while True:
            ready = self._documents is None or self._documents.ready
            membership = self._membership
            if self.state is LifeState.JOINING:
                if ready and membership.can_serve():
                    self._life_cycle.apply("serve")
            elif self.state is LifeState.SERVING and not membership.can_keep_serving():
                self._life_cycle.apply("lose_membership")
            await self._wait_for_membership()

    async def _wait_for_membership(self) -> None:
        serving = self.state is LifeState.SERVING
        self._membership_changed.clear()
        timeout_s = SERVING_POLL_INTERVAL_S if serving else POLL_INTERVAL_S
        await wait_for_event(self._membership_changed, timeout_s=timeout_s)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        # The conditions depend on time, so no event signals them.
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)

    def _on_state(self, state: LifeState) -> None:
        self._metrics.count("life_cycle_changes", state=state.value)
        logger.info("life-cycle state changed", extra={"state": state.value})
