"""Stand-ins, fault injection and measurements for development."""

from __future__ import annotations
