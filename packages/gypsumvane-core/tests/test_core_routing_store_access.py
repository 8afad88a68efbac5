"""Calls of a fleet to a failing store."""

from __future__ import annotations

import random
import unittest

from gypsumvane_core.routing.store_access import CALL_PAUSE_MAX_S
from gypsumvane_core.routing.store_access import EVIDENCE_VALID_S
from gypsumvane_core.routing.store_access import StoreAccess

DAEMONS = 180
OUTAGE_S = 6.0
# Pause of a feed between two attempts.
RETRY_S = 0.5


class StoreOutageTest(unittest.TestCase):
    """Play an outage of the store for all daemons that are no hubs."""

    def setUp(self) -> None:
        rng = random.Random(7)
        self.rng = rng
        self.fleet = [StoreAccess(random.Random(rng.random())) for _ in range(DAEMONS)]

    def calls(self, until_s: float) -> list[tuple[float, int]]:
        """Return time and daemon of each call while no relay has a confirmed copy."""
        found = []
        for number, access in enumerate(self.fleet):
            now_s = self.rng.uniform(0.0, RETRY_S)
            while now_s < until_s:
                access.record_unconfirmed(now_s)
                if access.take_call(now_s):
                    found.append((now_s, number))
                now_s += RETRY_S
        return sorted(found)

    def test_outage_costs_few_calls(self) -> None:
        """Guard against a burst of calls that grows with every retry of the fleet."""
        calls = self.calls(OUTAGE_S)
        retries = DAEMONS * OUTAGE_S / RETRY_S
        self.assertLess(len(calls), retries / 4)
        first_second = [at for at, _ in calls if at < 1.0]
        self.assertLess(len(first_second), DAEMONS / 2)

    def test_every_daemon_still_finds_a_store_that_it_alone_reaches(self) -> None:
        """Guard against a daemon that trusts relays which are cut off themselves."""
        calls = self.calls(2 * CALL_PAUSE_MAX_S)
        for number in range(DAEMONS):
            times = [at for at, daemon in calls if daemon == number]
            gaps = [
                late - early
                for early, late in zip(
                    [0.0, *times], [*times, 2 * CALL_PAUSE_MAX_S], strict=True
                )
            ]
            self.assertLessEqual(max(gaps), CALL_PAUSE_MAX_S + 2 * RETRY_S)

    def test_without_evidence_the_store_is_called_at_once(self) -> None:
        """Guard against a wait for relays that are silent or gone."""
        access = self.fleet[0]
        self.assertTrue(access.take_call(1.0))
        access.record_unconfirmed(2.0)
        self.assertTrue(access.take_call(2.0 + EVIDENCE_VALID_S))
        access.record_unconfirmed(10.0)
        access.record_confirmed()
        self.assertTrue(access.take_call(10.0))
