"""System tests that run daemons as real processes."""

from __future__ import annotations
