"""Tests of the whole system with real processes."""

from __future__ import annotations
