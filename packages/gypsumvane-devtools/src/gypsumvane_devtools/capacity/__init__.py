"""Sweeps over sizes, from which the capacity page takes its slopes."""

from __future__ import annotations
