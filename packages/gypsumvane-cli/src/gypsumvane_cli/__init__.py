"""Command-line client for operators of gypsumvane."""

from __future__ import annotations
