"""Periodic checks of confirmation, homes and the store watcher role."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from gypsumvane_core.assignment import rank

if TYPE_CHECKING:
    from gypsumvane_core.membership import MembershipState
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.membership_ports import StorePort
    from gypsumvane_daemon.membership_signals import MembershipSignals
    from gypsumvane_daemon.metrics import MetricsService

logger = logging.getLogger(__name__)


class ConfirmationWatch:
    """Publish state that changes with time and select the store watchers."""

    def __init__(
        self,
        identity: DaemonIdentity,
        state: MembershipState,
        *,
        store: StorePort,
        metrics: MetricsService,
        signals: MembershipSignals,
    ) -> None:
        self._identity = identity
        self._interval_s = identity.settings.membership.heartbeat_interval_ms / 1000
        self._state = state
        self._store = store
        self._metrics = metrics
        self._signals = signals
        self._confirmed = False

    async def run(self) -> None:
        """Check twice per heartbeat interval until cancelled."""
        while True:
            self._store.set_watching(self._is_store_watcher())
            if self._state.pop_home_change():
                self._signals.notify_changed()
            self.publish_change()
            await asyncio.sleep(self._interval_s / 2)

    def publish_change(self) -> None:
        """Log, count and publish a change of the confirmation."""
        confirmed = self._state.confirmed()
        if confirmed != self._confirmed:
            self._confirmed = confirmed
            self._metrics.count("confirmation_changes", confirmed=str(confirmed))
            logger.info(
                "view confirmation state changed", extra={"confirmed": confirmed}
            )
            self._signals.notify_changed()

    def _is_store_watcher(self) -> bool:
        own = self._identity
        domain = [
            m.vm_id
            for m in self._state.live_members()
            if m.failure_domain == own.failure_domain and not self._state.suspected(m)
        ]
        watchers = own.settings.platform.store_watchers_per_domain
        return own.vm_id in rank("store-watchers", domain)[:watchers]
