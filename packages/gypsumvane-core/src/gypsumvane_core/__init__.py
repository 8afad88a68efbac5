"""Decision logic of the query tier, free of I/O."""

from __future__ import annotations
