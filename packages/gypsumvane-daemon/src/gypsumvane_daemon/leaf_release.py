"""Release of leaves that have moved to another home."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumvane_core.membership import MembershipState
    from gypsumvane_daemon.membership_signals import MembershipSignals

RELEASE_POLL_INTERVAL_S = 0.02


class LeafRelease:
    """Acknowledge each epoch once the leaves it moved elsewhere are idle here."""

    def __init__(
        self,
        state: MembershipState,
        *,
        signals: MembershipSignals,
        is_idle: Callable[[str], bool],
        on_acknowledged: Callable[[], None],
    ) -> None:
        self._state = state
        self._signals = signals
        self._is_idle = is_idle
        self._on_acknowledged = on_acknowledged

    async def run(self) -> None:
        """Process releases until cancelled."""
        while True:
            await self._signals.release_requested.wait()
            self._signals.release_requested.clear()
            while self._state.view is not None:
                leaves = self._state.leaves_to_release()
                idle = [leaf for leaf in leaves if self._is_idle(leaf)]
                if self._state.acknowledge(idle):
                    self._on_acknowledged()
                if self._state.acknowledged_epoch == self._state.epoch:
                    break
                await asyncio.sleep(RELEASE_POLL_INTERVAL_S)
