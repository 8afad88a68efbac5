"""The daemon of the query tier."""

from __future__ import annotations
