"""Calls of a fleet to a failing store."""

from __future__ import annotations

import random
import unittest

from gypsumvane_core.routing.store_access import CALL_PAUSE_MAX_S
from gypsumvane_core.routing.store_access import EVIDENCE_VALID_S
from gypsumvane_core.routing.store_access import StoreAccess

DAEMONS = 180
OUTAGE_S = 6.0
# Pauses of a feed between two attempts.
RETRY_S = 0.5
RETRY_MAX_S = 0.8
# Times in which news has to be in force, of small and of large fleets.
BOUNDS_S = (3.0, 5.0)
# Time for a call and for a request on its way.
MARGIN_S = 0.3


class StoreOutageTest(unittest.TestCase):
    """Play an outage of the store for all daemons that are no hubs.

    All copies were confirmed last at time 0.
    """

    def setUp(self) -> None:
        rng = random.Random(7)
        self.rng = rng
        self.fleet = [
            StoreAccess(random.Random(rng.random()), BOUNDS_S[-1])
            for _ in range(DAEMONS)
        ]

    def calls(self, until_s: float) -> list[tuple[float, int]]:
        """Return time and daemon of each call while no relay has a confirmed copy."""
        found = []
        for number, access in enumerate(self.fleet):
            now_s = self.rng.uniform(0.0, RETRY_S)
            while now_s < until_s:
                access.record_unconfirmed(now_s)
                if access.may_call(now_s, now_s):
                    found.append((now_s, number))
                    access.record_failed(now_s)
                now_s += RETRY_S
        return sorted(found)

    def test_outage_costs_few_calls(self) -> None:
        """Guard against a burst of calls that grows with every retry of the fleet."""
        calls = self.calls(OUTAGE_S)
        retries = DAEMONS * OUTAGE_S / RETRY_S
        self.assertLess(len(calls), retries / 4)
        first_second = [at for at, _ in calls if at < 1.0]
        self.assertLess(len(first_second), DAEMONS / 2)
        for begin_s, _ in calls:
            burst = [at for at, _ in calls if begin_s <= at < begin_s + 0.5]
            self.assertLess(len(burst), DAEMONS * 0.6)

    def test_every_daemon_still_finds_a_store_that_it_alone_reaches(self) -> None:
        """Guard against a daemon that trusts relays which are cut off themselves."""
        calls = self.calls(3 * CALL_PAUSE_MAX_S)
        for number in range(DAEMONS):
            times = [at for at, daemon in calls if daemon == number]
            self.assertLess(times[0], BOUNDS_S[-1] - MARGIN_S)
            gaps = [
                late - early
                for early, late in zip(
                    times, [*times[1:], 3 * CALL_PAUSE_MAX_S], strict=True
                )
            ]
            self.assertLessEqual(max(gaps), CALL_PAUSE_MAX_S + RETRY_S)

    def test_store_that_fails_for_the_relays_only(self) -> None:
        """Guard against a calm daemon that waits for relays without the store (DRAIN).

        It called the store every 2 to 4 s, and news reached it up to 6.7 s late.
        """
        for bound_s in BOUNDS_S:
            with self.subTest(bound_s):
                access = StoreAccess(self.rng, bound_s)
                oldest_s = confirmed_s = now_s = 0.0
                while now_s < 30.0:
                    access.record_unconfirmed(now_s)
                    oldest_s = max(oldest_s, now_s - confirmed_s)
                    if access.may_call(now_s, now_s - confirmed_s):
                        access.record_answered()
                        confirmed_s = now_s
                    now_s += RETRY_MAX_S
                self.assertLess(oldest_s, bound_s - MARGIN_S)

    def test_without_evidence_the_store_is_called_at_once(self) -> None:
        """Guard against a wait for relays that are silent or gone."""
        access = self.fleet[0]
        self.assertTrue(access.may_call(1.0, 0.0))
        access.record_unconfirmed(2.0)
        self.assertTrue(access.may_call(2.0 + EVIDENCE_VALID_S, 0.0))
        access.record_unconfirmed(10.0)
        self.assertFalse(access.may_call(10.0, 0.0))
        access.record_confirmed()
        self.assertTrue(access.may_call(10.0, 0.0))
