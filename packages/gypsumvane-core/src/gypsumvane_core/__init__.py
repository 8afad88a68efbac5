"""Decisions of the query tier, without I/O."""

from __future__ import annotations
