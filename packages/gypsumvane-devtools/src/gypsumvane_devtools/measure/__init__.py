"""Experiments that measure each target against a baseline."""

from __future__ import annotations
