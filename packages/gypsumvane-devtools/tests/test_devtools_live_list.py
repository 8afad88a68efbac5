"""Tests of the live list stand-in."""

from __future__ import annotations

import unittest

from gypsumvane_devtools.live_list import VmListing


class VmListingTest(unittest.TestCase):
    """Check the lag of changes and the number of the list."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.listing = VmListing(
            clock=lambda: self.now_s, appear_lag_s=2.0, disappear_lag_s=5.0
        )

    def states(self) -> dict[str, str]:
        """Return the visible states by VM."""
        return {vm.vm_id: vm.state for vm in self.listing.visible()}

    def test_changes_become_visible_after_their_lag(self) -> None:
        """Guard against changes that are visible without their lag."""
        self.listing.add("vm-1", "a")
        self.assertEqual(self.states(), {})
        self.now_s = 2.0
        self.assertEqual(self.states(), {"vm-1": "live"})
        self.listing.remove("vm-1")
        self.now_s = 6.9
        self.assertEqual(self.states(), {"vm-1": "live"})
        self.now_s = 7.0
        self.assertEqual(self.states(), {})
        self.assertEqual(self.listing.number, 2)

    def test_vm_added_again_stays_visible(self) -> None:
        """Guard against a removal that overtakes a later addition."""
        self.listing.add("vm-1", "a")
        self.now_s = 2.0
        self.listing.remove("vm-1")
        self.listing.add("vm-1", "a")
        self.now_s = 20.0
        self.assertEqual(self.states(), {"vm-1": "live"})

    def test_leaving_is_shown(self) -> None:
        """Guard against a leaving VM that is listed as live."""
        self.listing.add("vm-1", "a")
        self.listing.mark_leaving("vm-1")
        self.now_s = 2.0
        self.assertEqual(self.states(), {"vm-1": "leaving"})
