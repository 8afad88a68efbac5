"""Tests of the usage figures of capacity sweeps."""

from __future__ import annotations

import unittest

from gypsumvane_devtools.capacity.daemon_window import WindowUsage


class WindowUsageTest(unittest.TestCase):
    """Check that idle usage is subtracted from the usage of a window."""

    def test_idle_usage_is_scaled_to_the_window(self) -> None:
        """Guard against heartbeats and watches counted as the cost of a query."""
        idle = WindowUsage(
            seconds=10.0,
            cpu_s=0.2,
            resident_mb=70.0,
            peer_frames=500.0,
            peer_bytes=20_000.0,
            store_calls=20.0,
        )
        window = WindowUsage(
            seconds=5.0,
            cpu_s=0.6,
            resident_mb=71.0,
            peer_frames=300.0,
            peer_bytes=11_000.0,
            store_calls=10.0,
        )
        net = window.subtract_idle(idle)
        self.assertEqual(net.seconds, 5.0)
        self.assertAlmostEqual(net.cpu_s, 0.5)
        self.assertAlmostEqual(net.resident_mb, 1.0)
        self.assertAlmostEqual(net.peer_frames, 50.0)
        self.assertAlmostEqual(net.peer_bytes, 1_000.0)
        self.assertAlmostEqual(net.store_calls, 0.0)


if __name__ == "__main__":
    unittest.main()
