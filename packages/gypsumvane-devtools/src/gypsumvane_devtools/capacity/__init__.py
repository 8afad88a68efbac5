"""Sweeps over sizes, which give the slopes of the capacity page."""

from __future__ import annotations
